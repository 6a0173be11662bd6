//! Names of HTTP headers.

/// Names a request so that sending it again does not run it again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The request's name on the time line.
pub const REQUEST_ID: &str = "x-request-id";

/// How long the caller will wait, in milliseconds.
pub const DEADLINE_MS: &str = "chestnutdrift-deadline-ms";

/// The caller's name; `anonymous` where it is missing.
pub const CALLER: &str = "chestnutdrift-caller";

/// `no` marks a request that may not be run twice.
pub const IDEMPOTENT: &str = "chestnutdrift-idempotent";

/// How many hosts have handed the request on; set by hosts only.
pub const HOPS: &str = "chestnutdrift-hops";

/// `yes` hands over the one run of a recorded request; set by hosts only.
pub const GRANTED: &str = "chestnutdrift-granted";

/// `yes` says that another host may have run the request already; set by hosts only.
pub const MAYBE_RAN: &str = "chestnutdrift-maybe-ran";

/// `yes` marks an answer that was given before.
pub const REPLAYED: &str = "idempotent-replayed";

/// The host that answered.
pub const HOST: &str = "chestnutdrift-host";

/// The content type of problem documents.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// The content type of JSON.
pub const JSON: &str = "application/json";

/// The content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
