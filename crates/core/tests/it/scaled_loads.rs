//! Loads of weight versions while there are more engines than the deployment stands for.

use std::sync::Arc;

use chestnutdrift_core::Millis;
use chestnutdrift_core::directory::ScalingSpec;
use chestnutdrift_core::gateway::{Answer, Call};

use crate::deployment::provider::settings;
use crate::deployment::{Deployment, SimEngine, Size, routing};
use crate::directory::STORES;

/// One in five engines of the ten that are there at the start.
const MAX_LOADING: usize = 2;

/// Guards against loads that slow each other down at the weight store: it is made for the engines that
/// are there without orders for more.
#[test]
fn engines_beyond_the_baseline_do_not_load_beside_the_others() {
    let size = Size { stores: 3, entries: 1, zones: 3, zones_per_region: 1, tolerated_losses: 1 };
    let mut deployment = Deployment::empty(7, size);
    let mut provider = settings();
    provider.scaling = true;
    deployment.provider_settings = Some(provider);
    deployment.start_all();
    for number in 1..=10 {
        deployment.add_engine(SimEngine::new(number));
    }
    deployment.run(4_000);
    let mut config = routing(1);
    let engines = Arc::make_mut(&mut config).services.iter_mut().find(|s| s.engine.is_some());
    engines.expect("the engines").scaling = Some(ScalingSpec {
        min: 1,
        max: 30,
        start_time: Millis(4_000),
        reclaimable_price: 220,
        zone_prices: [("zone-1".into(), 1_000)].into(),
    });
    assert_eq!(deployment.call(STORES[1], Call::PutRouting(config), 900), Some(Answer::Done));
    deployment.run(8_000);
    for number in 11..=20 {
        deployment.add_engine(SimEngine::new(number));
    }
    deployment.run(2_000);
    let (named, from) =
        (Call::NameVersion { model: "model".into(), version: 2 }, deployment.orders.len());
    assert_eq!(deployment.call(STORES[1], named, 100), Some(Answer::Done));
    deployment.run(400);
    let ordered = deployment.orders.len() - from;
    assert_eq!(ordered, MAX_LOADING, "engines load at a time");
}
