//! The operator's configuration for the stand-ins for the store and the workers.

/// Maximum number of workers on which the configuration lets a request run.
pub const ATTEMPTS: usize = 2;

/// The path at which workers tell their health and their ids.
pub const HEALTH_PATH: &str = "/health";

/// Returns the configuration as JSON. The service `llm` consists of engines with memory for two models each, and `app`
/// is a plain service. Each version adds a route `/vN/`, so that a request can show whether the version is in effect.
#[must_use]
pub fn text(models: usize, loads_per_second: f64, version: u64) -> String {
    let models: Vec<String> = (1..=models)
        .map(|model| {
            format!(
                r#"{{"name":"m{model}","weightsMb":40,"loadS":0.2,"adapters":2,"adapterMb":1,"warmS":0.05,"diskLoadS":0.05}}"#
            )
        })
        .collect();
    let version_routes: Vec<String> = (1..=version)
        .map(|version| plain_route(&format!("v{version}"), "safe"))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{},{},{},{},{}],
        "services":[{{"name":"llm","maxConns":200,"healthPath":"{HEALTH_PATH}","engine":{{"slots":8,"models":[{}],"weightsMb":83,
        "adapterSlots":4,"loadsPerS":{loads_per_second}}}}},{{"name":"app","maxConns":200,"healthPath":"{HEALTH_PATH}"}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        streaming_route("ask", 2, true),
        streaming_route("once", 1, false),
        plain_route("book", "unsafe"),
        plain_route("look", "safe"),
        version_routes.join(","),
        models.join(",")
    )
}

fn streaming_route(name: &str, attempts: usize, resumable: bool) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","pathPrefix":"/{name}/","kind":"streaming","timeoutMs":8000,"goalMs":1000,
        "priority":0,"service":"llm","attempts":{attempts},"resumable":{resumable},"gapTargetMs":400}}"#
    )
}

fn plain_route(name: &str, kind: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":3000,"goalMs":100,
        "priority":2,"service":"app","attempts":{ATTEMPTS}}}"#
    )
}
