//! Encoded updates of the configuration for linked instances.

use std::sync::Arc;

use bytes::Bytes;
use fireflywheel::fleet::config::history;
use fireflywheel::fleet::config::update;
use fireflywheel::fleet::frame;

/// The updates to the newest configuration. Most instances have the same configuration, so an update is encoded once.
#[derive(Debug)]
pub(super) struct Cache {
    configs: history::History,
    target: update::Revision,
    encoded: Vec<(Option<update::Revision>, Arc<[Bytes]>)>,
}

impl Cache {
    /// Creates a cache of the updates to the newest of these configurations; `None` if there is none.
    pub(super) fn new(configs: history::History) -> Option<Self> {
        let target = configs.newest()?.revision;
        Some(Self {
            configs,
            target,
            encoded: Vec::new(),
        })
    }

    /// The newest configuration.
    pub(super) fn target(&self) -> update::Revision {
        self.target
    }

    /// The frames with the update from a configuration.
    pub(super) fn from(&mut self, base: Option<update::Revision>) -> Arc<[Bytes]> {
        // All configurations that are not kept have the same update: everything.
        let base = base.filter(|base| self.configs.contains(*base));
        let known = self.encoded.iter().find(|(known, _)| *known == base);
        if let Some((_, frames)) = known {
            return Arc::clone(frames);
        }
        let parts = self.configs.update_from(base).into_iter();
        let frames = parts.map(|part| frame::Frame::ConfigUpdate(part).encode());
        let frames: Arc<[Bytes]> = frames.collect();
        let bytes: usize = frames.iter().map(Bytes::len).sum();
        log::info!(
            base = base.map_or(0, |base| base.version), version = self.target.version, parts = frames.len() as u64,
            bytes = bytes as u64;
            "update of the configuration encoded"
        );
        self.encoded.push((base, Arc::clone(&frames)));
        frames
    }
}
