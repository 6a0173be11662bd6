//! Names of HTTP headers, and content types.

/// A caller's key for a request; a request sent again with the same key is not run again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The request's id in the timeline.
pub const REQUEST_ID: &str = "x-request-id";

/// How long the caller waits for the answer, in milliseconds.
pub const DEADLINE_MS: &str = "chestnutdrift-deadline-ms";

/// The caller's name; `anonymous` if the header is missing.
pub const CALLER: &str = "chestnutdrift-caller";

/// `no` marks a request that must not be run twice.
pub const IDEMPOTENT: &str = "chestnutdrift-idempotent";

/// How many hosts have forwarded the request; set by hosts only.
pub const HOPS: &str = "chestnutdrift-hops";

/// `yes` allows the receiving host to run a recorded request, which is run only once; set by hosts
/// only.
pub const GRANTED: &str = "chestnutdrift-granted";

/// `yes` warns that another host may have run the request already; set by hosts only.
pub const MAYBE_RAN: &str = "chestnutdrift-maybe-ran";

/// `yes` marks the stored answer of an earlier run.
pub const REPLAYED: &str = "idempotent-replayed";

/// The name of the host that answered.
pub const HOST: &str = "chestnutdrift-host";

/// The content type of problem documents.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// The content type of JSON.
pub const JSON: &str = "application/json";

/// The content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
