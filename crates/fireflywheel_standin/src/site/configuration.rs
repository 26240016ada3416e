//! The operator's configuration, for stand-ins of a store and workers.

/// Servers that a request may run on, by the configuration.
pub const ATTEMPTS: usize = 2;

/// Its text, with a group `llm` of engines with room for two models each, and a group `app` of plain services. Each
/// version adds a route `/vN/`, by which it is seen where it is in force.
#[must_use]
pub fn text(models: usize, loads_per_second: f64, version: u64) -> String {
    let models: Vec<String> = (1..=models)
        .map(|model| {
            format!(
                r#"{{"name":"m{model}","weightsMb":40,"loadS":0.2,"adapters":2,"adapterMb":1,"warmS":0.05,"diskLoadS":0.05}}"#
            )
        })
        .collect();
    let added: Vec<String> = (1..=version)
        .map(|version| plain(&format!("v{version}"), "safe"))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{},{},{},{},{}],
        "services":[{{"name":"llm","maxConns":200,"engine":{{"slots":8,"models":[{}],"weightsMb":83,
        "adapterSlots":4,"loadsPerS":{loads_per_second}}}}},{{"name":"app","maxConns":200}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        streaming("ask", 2, true),
        streaming("once", 1, false),
        plain("book", "unsafe"),
        plain("look", "safe"),
        added.join(","),
        models.join(",")
    )
}

fn streaming(name: &str, attempts: usize, resumable: bool) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","pathPrefix":"/{name}/","kind":"streaming","timeoutMs":8000,"goalMs":1000,
        "priority":0,"service":"llm","attempts":{attempts},"resumable":{resumable},"gapTargetMs":400}}"#
    )
}

fn plain(name: &str, kind: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":3000,"goalMs":100,
        "priority":2,"service":"app","attempts":{ATTEMPTS}}}"#
    )
}
