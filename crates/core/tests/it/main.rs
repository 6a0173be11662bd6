//! Simulation tests of the core: its state machines run on deterministic in-memory drivers.

mod deployment;
mod world;

mod agreement;
mod bookings;
mod catch_up;
mod deadly_requests;
mod determinism;
mod directory;
mod ended_upstreams;
mod fleet_settings;
mod installed_snapshot;
mod item_queue;
mod job_memory;
mod joined_texts;
mod leaving;
mod lifecycle;
mod limits;
mod log_size;
mod lost_stores;
mod many_hosts;
mod partial_texts;
mod planned_stop;
mod recovery;
mod registry;
mod rewards;
mod routing;
mod samples;
mod scripts;
mod silent_replica;
mod sole_survivor;
mod stalled_disk;
mod tables;
mod taken_up_streams;
mod text_cache;
mod voter_sets;
