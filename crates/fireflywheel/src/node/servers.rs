//! Tracks backend servers by the platform's list and their own load reports. Both are delayed, and neither
//! proves that a server runs or is gone.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::Node;
use crate::{clock, effect, ledger, membership, report, routing};

impl Node {
    /// Handles the platform's list of instances. It is a hint for the membership, and the only source of
    /// information about which backend servers exist.
    pub(super) fn handle_list(
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
        self.listed_instances = u32::try_from(routers.len()).ok();
        self.retry_budget.set_instances(now, routers.len().max(1));
        self.count_instances();
        self.membership.set_listed(now, &routers);
        for entry in entries
            .iter()
            .filter(|entry| entry.kind == report::Kind::Backend)
        {
            self.update_listed_server(now, entry);
        }
        self.update_absent_servers(now, entries);
        self.invalidate_candidates();
        self.poll_reports(out);
        self.dispatch_all_waiting(now, out);
    }

    fn update_listed_server(&mut self, now: clock::Instant, entry: &report::ListEntry) {
        let slots = self.slots_per_server(&entry.group);
        let absence_timeout = self.options.timing.absence_timeout;
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
        let reports_leaving = server
            .report
            .as_ref()
            .is_some_and(|(_, report)| report.leaving);
        // The list lags behind the server's own answers. A server that leaves has ended after as long as an absent one
        // is kept.
        let is_current = |at: &clock::Instant| !leaving && now.since(*at) < 2 * absence_timeout;
        server.refused_as_leaving = server.refused_as_leaving.filter(is_current);
        server.leaving = leaving || reports_leaving || server.refused_as_leaving.is_some();
        group.table.set_leaving(key, server.leaving);
    }

    /// Marks backend servers that the list no longer names as leaving, so that they receive no new
    /// requests. They are removed after a while, once no right names them.
    fn update_absent_servers(&mut self, now: clock::Instant, entries: &[report::ListEntry]) {
        let rights = self.log.ledger.as_ref().map(ledger::Ledger::rights);
        let next_offset = self.log.next();
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
                    server.absent_offset = next_offset;
                }
                server.refused_as_leaving = None;
                if let Some(key) = group.table.find(address) {
                    group.table.set_leaving(key, true);
                }
            }
            let has_rights = |address: &SmolStr| {
                rights.is_some_and(|rights| rights.keys().any(|key| key.server == *address))
            };
            let removed: Vec<SmolStr> = group
                .servers
                .iter()
                .filter(|(address, server)| {
                    let absent = server.absent_since.map(|since| now.since(since));
                    absent.is_some_and(|absent| absent >= 2 * self.options.timing.absence_timeout)
                        && !has_rights(address)
                })
                .map(|(address, _)| address.clone())
                .collect();
            for address in removed {
                group.servers.remove(&address);
                if let Some(key) = group.table.find(&address) {
                    group.table.remove_server(key);
                }
            }
        }
    }

    /// Polls the load reports of every listed engine.
    fn poll_reports(&mut self, out: &mut Vec<effect::Effect>) {
        let engines = self
            .groups
            .iter()
            .filter(|(name, _)| self.is_engine_group(name));
        let servers = engines.flat_map(|(_, group)| group.servers.iter());
        let present = servers.filter(|(_, server)| server.absent_since.is_none());
        let polled_servers: Vec<SmolStr> = present.map(|(address, _)| address.clone()).collect();
        if polled_servers != self.polled_servers {
            self.polled_servers.clone_from(&polled_servers);
            out.push(effect::Effect::PollReports(polled_servers));
        }
    }

    pub(super) fn handle_report(
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
            group.table.record_report(key, routing_report(now, &report));
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
        self.dispatch_all_waiting(now, out);
    }

    pub(super) fn handle_report_failure(&mut self, server: &SmolStr) {
        for group in self.groups.values_mut() {
            if let Some(known) = group.servers.get_mut(server) {
                known.report = None;
            }
        }
    }
}

fn routing_report(now: clock::Instant, report: &report::Report) -> routing::Report {
    routing::Report {
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        at: now,
    }
}
