//! A folder, and records of the directory group whose texts take up most of their memory.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use chestnutdrift_core::Millis;
use chestnutdrift_core::directory::{ItemOutcome, ItemResult, ItemSpec, JobSpec, NewResult};

/// The items of a job.
const ITEMS: u32 = 64;

/// The length of the body of an item, in bytes.
const BODY_BYTES: usize = 600;

/// A line of the text of a result, between two empty ones.
const TEXT_LINE: &str = "\n\ntttttttt\n";

/// The length of the text of a result, in bytes.
const TEXT_BYTES: usize = 4_000;

/// A folder that is removed at the end of the test.
pub(crate) struct TestFolder(PathBuf);

impl TestFolder {
    pub(crate) fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub(crate) fn job_spec(id: u64) -> JobSpec {
    let item = |index: u32| ItemSpec {
        id: format!("item-{index}").into(),
        path: "/draft".into(),
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
        tokens: 400,
        prompt_tokens: 100,
        expected_tokens: 300,
        group: "".into(),
        reward: None,
    };
    JobSpec {
        id: format!("job-{id}").into(),
        host: "drafts".into(),
        prefix: "/".into(),
        services: Vec::new(),
        model: None,
        min_version: 1,
        single_version: false,
        resumable: true,
        max_attempts: 3,
        due_after: Millis(10_000),
        give_up_after: Millis(20_000),
        items: (0..ITEMS).map(item).collect(),
        workspace: None,
    }
}

pub(crate) fn result(item: u32) -> NewResult {
    let text: Arc<str> = TEXT_LINE.repeat(TEXT_BYTES / TEXT_LINE.len()).into();
    let outcome = ItemOutcome::Completed { text, versions: vec![1], score: None };
    NewResult::with_whole_text(ItemResult { item, outcome })
}
