//! Calculates the number of replicas from the counts of the engines.

use fireflywheel_standin::engine;

/// Returns the number of replicas of a model that are fully loaded, of all versions.
#[must_use]
pub fn count_loaded(engines: &[engine::Counts], model: &str) -> usize {
    let items = engines.iter().flat_map(|engine| &engine.loaded);
    items.filter(|item| is_replica_of(item, model)).count()
}

/// Returns the number of replicas of a model that occupy memory, including those that are still loading.
#[must_use]
pub fn count_held(engines: &[engine::Counts], model: &str) -> usize {
    let changes = engines.iter().flat_map(|engine| &engine.history);
    let changes = changes.filter(|change| is_replica_of(&change.item, model));
    let (loads, unloads): (Vec<_>, Vec<_>) = changes.partition(|change| change.loaded);
    loads.len().saturating_sub(unloads.len())
}

/// Returns the peak number of replicas of a model before a time, given as Unix time in microseconds.
#[must_use]
pub fn peak_before(engines: &[engine::Counts], model: &str, us: u64) -> usize {
    let histories: Vec<_> = engines
        .iter()
        .map(|engine| changes_before(engine, us))
        .collect();
    engine::peak_replicas(histories.iter().map(Vec::as_slice), model)
}

/// Returns the peak number of replicas of a model from a time on, given as Unix time in microseconds.
#[must_use]
pub fn peak_since(engines: &[engine::Counts], model: &str, us: u64) -> usize {
    let histories: Vec<_> = engines
        .iter()
        .map(|engine| changes_since(engine, us))
        .collect();
    engine::peak_replicas(histories.iter().map(Vec::as_slice), model)
}

/// Returns the number of loads of a model that were started.
#[must_use]
pub fn count_loads(engines: &[engine::Counts], model: &str) -> u64 {
    let loads = engines.iter().flat_map(|engine| &engine.loads);
    let loads = loads.filter(|(item, _)| is_replica_of(item, model));
    loads.map(|(_, count)| count).sum()
}

fn changes_before(engine: &engine::Counts, us: u64) -> Vec<engine::Change> {
    let changes = engine.history.iter().filter(|change| change.us < us);
    changes.cloned().collect()
}

/// Returns the changes from a time on, preceded by one load for each item that is held at that time.
fn changes_since(engine: &engine::Counts, us: u64) -> Vec<engine::Change> {
    let mut changes: Vec<engine::Change> = Vec::new();
    for change in &engine.history {
        if change.us < us && !change.loaded {
            changes.retain(|held| held.item != change.item);
        } else {
            changes.push(change.clone());
        }
    }
    changes
}

fn is_replica_of(item: &str, model: &str) -> bool {
    let item: Result<engine::Item, _> = item.parse();
    item.is_ok_and(|item| item.requested_as() == model)
}
