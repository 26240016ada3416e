//! Backend servers as the platform's list and their own reports tell of them: all late, none of it proof.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::Node;
use crate::{clock, effect, ledger, membership, report, routing};

impl Node {
    /// Takes in the platform's list: a hint of who is there, and the only word on backend servers.
    pub(super) fn listed(
        &mut self,
        now: clock::Instant,
        entries: &[report::ListEntry],
        out: &mut Vec<effect::Effect>,
    ) {
        let routers = entries
            .iter()
            .filter(|entry| entry.kind == report::Kind::Router);
        let routers: Vec<_> = routers
            .map(|entry| membership::ListEntry {
                instance: entry.name.clone(),
                address: entry.address.clone(),
            })
            .collect();
        self.routers_listed = u32::try_from(routers.len()).ok();
        self.budget.set_instances(now, routers.len().max(1));
        self.count_sharers();
        self.membership.set_listed(now, &routers);
        for entry in entries
            .iter()
            .filter(|entry| entry.kind == report::Kind::Backend)
        {
            self.server_listed(now, entry);
        }
        self.mark_absent(now, entries);
        self.placements_changed();
        self.watch(out);
        self.pump_all(now, out);
    }

    fn server_listed(&mut self, now: clock::Instant, entry: &report::ListEntry) {
        let slots = self.slots(&entry.group);
        let group = self.groups.entry(entry.group.clone()).or_default();
        let leaving = entry.state == report::State::Leaving;
        let key = match group.table.find(&entry.address) {
            Some(key) => key,
            None => group.table.add_server(
                now,
                entry.address.clone(),
                entry.failure_domain.clone(),
                slots,
            ),
        };
        let server = group.servers.entry(entry.address.clone()).or_default();
        server.failure_domain = entry.failure_domain.clone();
        server.absent_since = None;
        let reported = server
            .report
            .as_ref()
            .is_some_and(|(_, report)| report.leaving);
        server.leaving = leaving || reported;
        group.table.set_leaving(key, server.leaving);
    }

    /// A backend server that the list no longer names gets nothing new at once; it stays known until it is
    /// certain that no right names it.
    fn mark_absent(&mut self, now: clock::Instant, entries: &[report::ListEntry]) {
        let rights = self.log.ledger.as_ref().map(ledger::Ledger::rights);
        let seen = self.log.next();
        for (name, group) in &mut self.groups {
            let listed: BTreeSet<_> = entries
                .iter()
                .filter(|entry| entry.kind == report::Kind::Backend && entry.group == *name)
                .map(|entry| &entry.address)
                .collect();
            for (address, server) in &mut group.servers {
                if listed.contains(address) {
                    continue;
                }
                if server.absent_since.is_none() {
                    server.absent_since = Some(now);
                    server.absent_offset = seen;
                }
                if let Some(key) = group.table.find(address) {
                    group.table.set_leaving(key, true);
                }
            }
            let held = |address: &SmolStr| {
                rights.is_some_and(|rights| rights.keys().any(|key| key.server == *address))
            };
            let forgotten: Vec<SmolStr> = group
                .servers
                .iter()
                .filter(|(address, server)| {
                    let absent = server.absent_since.map(|since| now.since(since));
                    absent.is_some_and(|absent| absent >= 2 * self.options.timing.gone_after)
                        && !held(address)
                })
                .map(|(address, _)| address.clone())
                .collect();
            for address in forgotten {
                group.servers.remove(&address);
                if let Some(key) = group.table.find(&address) {
                    group.table.remove_server(key);
                }
            }
        }
    }

    /// Asks every listed engine for reports.
    fn watch(&mut self, out: &mut Vec<effect::Effect>) {
        let engines = self.groups.iter().filter(|(name, _)| self.is_engine(name));
        let servers = engines.flat_map(|(_, group)| group.servers.iter());
        let present = servers.filter(|(_, server)| server.absent_since.is_none());
        let watched: Vec<SmolStr> = present.map(|(address, _)| address.clone()).collect();
        if watched != self.watched {
            self.watched.clone_from(&watched);
            out.push(effect::Effect::PollReports(watched));
        }
    }

    pub(super) fn reported(
        &mut self,
        now: clock::Instant,
        server: &SmolStr,
        report: report::Report,
        out: &mut Vec<effect::Effect>,
    ) {
        for group in self.groups.values_mut() {
            let Some(key) = group.table.find(server) else {
                continue;
            };
            group.table.record_report(key, routed(now, &report));
            let Some(known) = group.servers.get_mut(server) else {
                continue;
            };
            let last = known.report.as_ref().map(|(_, last)| &last.boot);
            if last.is_some_and(|boot| *boot != report.boot) {
                group.table.clear_cache(key);
            }
            for event in &report.cache.events {
                let prefix = routing::prefix(&event.prefix);
                group
                    .table
                    .record_cache_event(key, event.seq, prefix, event.stored);
            }
            if report.leaving && !known.leaving {
                known.leaving = true;
                group.table.set_leaving(key, true);
            }
            known.report = Some((now, report));
            break;
        }
        self.pump_all(now, out);
    }

    pub(super) fn unreported(&mut self, server: &SmolStr) {
        for group in self.groups.values_mut() {
            if let Some(known) = group.servers.get_mut(server) {
                known.report = None;
            }
        }
    }
}

fn routed(now: clock::Instant, report: &report::Report) -> routing::Report {
    routing::Report {
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        at: now,
    }
}
