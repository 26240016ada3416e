//! Tests of the quarantine of parts of prompts on which servers crash.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::quarantine::{Facts, Part, Registry, Suspects};

/// Number of instances of a fleet.
const INSTANCES: usize = 3;
/// The number of crashes that have nothing in common, between two that have.
const OTHER_CRASHES: usize = 40;
/// The number of parts of what a busy server answers as it crashes.
const BUSY_PARTS: usize = 200;
/// Time between two crashes.
const INTERVAL: Duration = Duration::from_secs(2);

fn process(number: u64) -> Process {
    Process {
        server: format!("s{number}").into(),
        started_ms: number,
    }
}

fn part(name: &str) -> Part {
    Part::new("llm", name)
}

fn parts<const COUNT: usize>(names: [&str; COUNT]) -> Vec<Part> {
    names.map(part).to_vec()
}

/// The suspects of a request with these parts before the last one of its prompt.
fn suspects(parts: &[Part]) -> Suspects {
    let own = [parts, &[part("own")]].concat();
    Suspects::new(&own, Part::of_request("llm", b"request"))
}

/// Instances that exchange what is new after each step, without a delay.
struct Fleet {
    now: Instant,
    registries: Vec<Registry>,
    crashes: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: Instant(1_000_000),
            registries: vec![Registry::default(); INSTANCES],
            crashes: 0,
        }
    }

    fn exchange(&mut self) {
        for index in 0..INSTANCES {
            let facts = self.registries[index].take_news(self.now);
            for (other, registry) in self.registries.iter_mut().enumerate() {
                if other != index {
                    registry.merge(self.now, &facts, false, other as u64);
                }
            }
        }
    }

    /// A server crashes that had begun to answer these prompts, each for another instance. `witnesses` of the instances find
    /// that it has ended.
    fn crash_with_witnesses(&mut self, prompts: &[Vec<Part>], witnesses: usize) -> Process {
        self.now = self.now.after(INTERVAL);
        self.crashes += 1;
        let process = process(self.crashes);
        for (index, prompt) in prompts.iter().enumerate() {
            let registry = &mut self.registries[index % INSTANCES];
            registry.record_break(self.now, &process, prompt);
        }
        for witness in 0..witnesses {
            let registry = &mut self.registries[witness];
            registry.record_end(self.now, &process, witness as u64, INSTANCES);
        }
        self.exchange();
        process
    }

    fn crash(&mut self, prompts: &[Vec<Part>]) -> Process {
        self.crash_with_witnesses(prompts, 2)
    }

    /// Servers crash at the same moment, each of which had just begun with one of these parts.
    fn wave(&mut self, parts: &[Part]) {
        self.now = self.now.after(INTERVAL);
        for (index, part) in parts.iter().enumerate() {
            self.crashes += 1;
            let process = process(self.crashes);
            let registry = &mut self.registries[index % INSTANCES];
            registry.record_break(self.now, &process, &[*part]);
            for witness in 0..2 {
                let registry = &mut self.registries[(index + witness) % INSTANCES];
                registry.record_end(self.now, &process, witness as u64, INSTANCES);
            }
        }
        self.exchange();
    }

    fn answer(&mut self, index: usize, prompt: &[Part]) {
        self.registries[index].record_answer(self.now, &suspects(prompt));
        self.exchange();
    }

    /// Whether requests with a part are refused. All instances must agree.
    fn refuses(&self, name: &str) -> bool {
        self.refuses_part(part(name))
    }

    fn refuses_part(&self, part: Part) -> bool {
        let refuse = |registry: &Registry| registry.find_quarantined(self.now, &[part]).is_some();
        let refusing = self.registries.iter().filter(|one| refuse(one)).count();
        assert!(refusing == 0 || refusing == INSTANCES, "{part}: {refusing}");
        refusing > 0
    }
}

/// Guards against a part on which server after server crashes, whatever instance each request came to.
#[test]
fn part_of_three_crashes_is_quarantined() {
    let mut fleet = Fleet::new();
    for number in 0..3 {
        assert!(!fleet.refuses("bad"));
        let other = format!("other{number}");
        fleet.crash(&[parts(["bad", &other])]);
    }
    assert!(fleet.refuses("bad"));
    assert!(!fleet.refuses("other2"));
}

/// Guards against a common part that is blamed for what a rare one does, while no server is left to answer anything.
#[test]
fn part_that_was_often_answered_is_not_blamed_beside_a_new_one() {
    let mut fleet = Fleet::new();
    for index in 0..INSTANCES {
        for _ in 0..100 {
            fleet.answer(index, &parts(["common"]));
        }
    }
    for number in 0..4 {
        let sound = format!("sound{number}");
        fleet.crash(&[parts(["common", "bad"]), parts(["common", &sound])]);
    }
    assert!(fleet.refuses("bad"));
    assert!(!fleet.refuses("common"));
}

/// Guards against sound requests that are refused since they ran where another one crashed servers.
#[test]
fn part_that_is_answered_between_crashes_is_not_blamed() {
    let mut fleet = Fleet::new();
    for _ in 0..4 {
        fleet.crash(&[parts(["bad"]), parts(["sound"])]);
        fleet.answer(2, &parts(["sound"]));
    }
    assert!(fleet.refuses("bad"));
    assert!(!fleet.refuses("sound"));
}

/// Guards against an answer that came before the news of the crash and is not counted for its parts.
#[test]
fn answer_before_the_news_of_a_crash_clears_its_parts() {
    let mut fleet = Fleet::new();
    for _ in 0..4 {
        fleet.now = fleet.now.after(INTERVAL);
        fleet.crashes += 1;
        let process = process(fleet.crashes);
        fleet.registries[0].record_break(fleet.now, &process, &parts(["sound"]));
        fleet.registries[2].record_answer(fleet.now, &suspects(&parts(["sound"])));
        for witness in 0..2 {
            fleet.registries[witness].record_end(fleet.now, &process, witness as u64, INSTANCES);
        }
        fleet.exchange();
        fleet.exchange();
    }
    assert!(!fleet.refuses("sound"));
}

/// Guards against three paths that are reset, or a partition, and are taken for three crashes.
#[test]
fn ends_that_one_instance_sees_are_no_crashes() {
    let mut fleet = Fleet::new();
    for _ in 0..5 {
        fleet.crash_with_witnesses(&[parts(["sound"])], 1);
    }
    assert!(!fleet.refuses("sound"));
}

/// Guards against a partition that two instances take for crashes though others reach the servers.
#[test]
fn answer_of_a_server_refutes_its_crash() {
    let mut fleet = Fleet::new();
    for _ in 0..5 {
        let process = fleet.crash(&[parts(["sound"])]);
        let now = fleet.now.after(Duration::from_millis(50));
        fleet.registries[2].record_life(now, &process, now);
        fleet.exchange();
    }
    assert!(!fleet.refuses("sound"));
}

/// Guards against a crash that is taken back since the next server listens at its address.
#[test]
fn next_server_at_an_address_refutes_no_crash() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        let process = fleet.crash(&[parts(["bad"])]);
        let now = fleet.now.after(Duration::from_secs(1));
        fleet.registries[2].record_connection(now, &process);
        fleet.exchange();
    }
    assert!(fleet.refuses("bad"));
}

/// Guards against a crash that isn't counted since the server was thought to have crashed before, and had not.
#[test]
fn server_that_had_not_crashed_may_crash_later() {
    let mut fleet = Fleet::new();
    let process = fleet.crash(&[parts(["sound"])]);
    fleet.registries[2].record_life(fleet.now, &process, fleet.now);
    fleet.exchange();
    fleet.now = fleet.now.after(INTERVAL);
    for witness in 0..2 {
        let registry = &mut fleet.registries[witness];
        registry.record_break(fleet.now, &process, &parts(["bad"]));
        registry.record_end(fleet.now, &process, witness as u64, INSTANCES);
    }
    fleet.exchange();
    for _ in 0..2 {
        fleet.crash(&[parts(["bad"])]);
    }
    assert!(fleet.refuses("bad"));
}

/// Guards against a part that is blamed for a wave of crashes, since several of the servers were busy with it.
#[test]
fn part_is_not_blamed_for_a_wave_of_crashes() {
    let mut fleet = Fleet::new();
    for _ in 0..2 {
        fleet.wave(&["sound", "other0", "sound", "other1", "sound", "other2"].map(part));
        assert!(!fleet.refuses("sound"));
    }
}

/// Guards against a model that is blamed for a wave of crashes, since most of the engines were just loading it.
#[test]
fn load_is_not_blamed_for_a_wave_of_crashes() {
    let mut fleet = Fleet::new();
    let load = Part::of_load("llm", "m1", None);
    for _ in 0..2 {
        fleet.wave(&[load, load, load, part("other")]);
        assert!(!fleet.refuses_part(load));
    }
}

/// Guards against a model on whose load engine after engine crashes while nothing else happens.
#[test]
fn load_of_three_crashes_is_blamed() {
    let mut fleet = Fleet::new();
    let load = Part::of_load("llm", "m1", None);
    fleet.wave(&[load, load, load]);
    assert!(fleet.refuses_part(load));
}

/// Guards against a part that is not blamed, since it isn't known yet what the last servers ran that it has crashed.
#[test]
fn part_is_blamed_before_all_is_known_of_the_last_crash() {
    let mut fleet = Fleet::new();
    fleet.wave(&["bad", "bad", "bad", "other"].map(part));
    assert!(fleet.refuses("bad"));
}

/// Guards against a part that is not blamed, since another server crashes beside each of those that it crashes.
#[test]
fn part_is_blamed_beside_other_crashes() {
    let mut fleet = Fleet::new();
    for number in 0..3 {
        assert!(!fleet.refuses("bad"));
        let other = format!("other{number}");
        fleet.wave(&["bad", &other].map(part));
    }
    assert!(fleet.refuses("bad"));
}

/// Guards against a part that is not blamed, since it crashes several servers at once.
#[test]
fn part_that_crashes_servers_at_once_is_blamed() {
    let mut fleet = Fleet::new();
    fleet.wave(&["bad", "bad", "bad"].map(part));
    assert!(fleet.refuses("bad"));
}

/// Guards against a part that stays quarantined though the servers that it was blamed for live.
#[test]
fn servers_that_live_end_a_quarantine() {
    let mut fleet = Fleet::new();
    let crashed = [(); 3].map(|()| fleet.crash(&[parts(["sound"])]));
    assert!(fleet.refuses("sound"));
    fleet.now = fleet.now.after(INTERVAL);
    fleet.registries[0].record_life(fleet.now, &crashed[0], fleet.now);
    fleet.exchange();
    assert!(!fleet.refuses("sound"));
}

/// Guards against a part that is let through, since one of many servers that it was blamed for lives.
#[test]
fn server_that_lives_ends_no_quarantine_beside_enough_crashes() {
    let mut fleet = Fleet::new();
    let crashed = [(); 4].map(|()| fleet.crash(&[parts(["bad"])]));
    fleet.registries[0].record_life(fleet.now, &crashed[3], fleet.now);
    fleet.exchange();
    assert!(fleet.refuses("bad"));
}

/// Guards against a part that is blamed wrongly and refused for good.
#[test]
fn trial_that_is_answered_ends_the_quarantine() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[parts(["rare"])]);
    }
    assert!(fleet.refuses("rare"));
    assert!(!fleet.registries[0].try_trial(fleet.now, part("rare")));
    fleet.now = fleet.now.after(Duration::from_secs(20));
    assert!(fleet.registries[0].try_trial(fleet.now, part("rare")));
    fleet.exchange();
    fleet.answer(1, &parts(["rare"]));
    assert!(!fleet.refuses("rare"));
}

/// Guards against trials that crash a server each time, throughout the day.
#[test]
fn trials_of_a_part_are_few() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[parts(["bad"])]);
    }
    let mut trials = 0;
    let day = Duration::from_secs(24 * 3600);
    let end = fleet.now.after(day);
    while fleet.now < end {
        fleet.now = fleet.now.after(Duration::from_secs(10));
        let granting = fleet.now.0 as usize % INSTANCES;
        if fleet.registries[granting].try_trial(fleet.now, part("bad")) {
            trials += 1;
            fleet.exchange();
            fleet.crash(&[parts(["bad"])]);
        }
        for registry in &mut fleet.registries {
            registry.prune(fleet.now);
        }
    }
    assert!(fleet.refuses("bad"));
    assert!(trials <= 3, "{trials} trials");
}

/// Guards against a new steward, or an instance that starts later, that doesn't know what is quarantined.
#[test]
fn everything_is_told_to_an_instance_that_knows_nothing() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[parts(["bad"])]);
    }
    fleet.now = fleet.now.after(Duration::from_secs(20));
    assert!(fleet.registries[0].try_trial(fleet.now, part("bad")));
    let mut new = Registry::default();
    new.merge(fleet.now, &fleet.registries[0].facts(fleet.now), false, 9);
    assert!(new.find_quarantined(fleet.now, &[part("bad")]).is_some());
    assert!(!new.try_trial(fleet.now, part("bad")));
    fleet.registries[1].tell_again();
    let told = fleet.registries[1].take_news(fleet.now);
    let mut new = Registry::default();
    new.merge(fleet.now, &told, true, 9);
    assert!(new.find_quarantined(fleet.now, &[part("bad")]).is_some());
}

/// All suspects of a request without parts, by its body.
fn request(body: &str) -> Suspects {
    Suspects::new(&[], Part::of_request("llm", body.as_bytes()))
}

/// All suspects of a request with a prompt.
fn prompt<const COUNT: usize>(names: [&str; COUNT]) -> Suspects {
    let content = names.join(",");
    let request = Part::of_request("llm", content.as_bytes());
    Suspects::new(&parts(names), request)
}

impl Fleet {
    fn is_refused(&self, suspects: &Suspects) -> bool {
        let registry = &self.registries[0];
        registry
            .find_quarantined(self.now, suspects.all())
            .is_some()
    }
}

/// Guards against a request without parts that is sent again and again, under new ids.
#[test]
fn request_of_three_crashes_is_quarantined() {
    let mut fleet = Fleet::new();
    let bad = request("bad");
    for number in 0..3 {
        assert!(!fleet.is_refused(&bad));
        let other = request(&format!("other{number}"));
        fleet.crash(&[bad.all().to_vec(), other.all().to_vec()]);
    }
    assert!(fleet.is_refused(&bad));
    assert!(!fleet.is_refused(&request("other2")));
}

/// Guards against a session whose part comes last, and against its other parts that are blamed with it.
#[test]
fn session_of_three_crashes_is_quarantined() {
    let mut fleet = Fleet::new();
    for index in 0..INSTANCES {
        let sound = prompt(["system", "topic", "sound"]);
        fleet.registries[index].record_answer(fleet.now, &sound);
    }
    for number in 0..3 {
        let question = format!("question{number}");
        let bad = prompt(["system", "topic", &question, "session"]);
        fleet.crash(&[bad.all().to_vec()]);
    }
    assert!(fleet.is_refused(&prompt(["system", "topic", "question3", "session"])));
    assert!(!fleet.is_refused(&prompt(["system", "topic", "question2", "other"])));
}

/// Guards against two parts that crash servers together, and against either of them that is blamed alone.
#[test]
fn two_parts_of_three_crashes_are_quarantined_together() {
    let mut fleet = Fleet::new();
    for index in 0..INSTANCES {
        for (number, part) in ["one", "two", "one", "two"].into_iter().enumerate() {
            let own = format!("own{index}-{number}");
            let sound = prompt(["system", part, &own]);
            fleet.registries[index].record_answer(fleet.now, &sound);
        }
    }
    for number in 0..3 {
        let own = format!("bad{number}");
        let bad = prompt(["system", "one", "two", &own]);
        fleet.crash(&[bad.all().to_vec()]);
    }
    assert!(fleet.is_refused(&prompt(["one", "system", "two", "bad3"])));
    assert!(!fleet.is_refused(&prompt(["system", "one", "own"])));
    assert!(!fleet.is_refused(&prompt(["system", "two", "own"])));
}

/// Guards against sound parts that are blamed since only a few instances know that they were answered.
#[test]
fn answer_that_one_instance_knows_counts_for_all() {
    let mut fleet = Fleet::new();
    let sound = prompt(["system", "one", "own"]);
    fleet.registries[2].record_answer(fleet.now, &sound);
    for number in 0..3 {
        let own = format!("bad{number}");
        let bad = prompt(["system", "one", "bad", &own]);
        fleet.crash(&[bad.all().to_vec()]);
        fleet.exchange();
    }
    assert!(fleet.is_refused(&prompt(["bad", "other"])));
    assert!(!fleet.is_refused(&sound));
}

/// Guards against a part that is sound for others and blamed for a request that is repeated, and against one that isn't
/// blamed since such a request was blamed first.
#[test]
fn repeated_request_is_blamed_before_its_parts() {
    let mut fleet = Fleet::new();
    let bad = prompt(["rare", "repeated"]);
    for _ in 0..3 {
        fleet.crash(&[bad.all().to_vec()]);
    }
    assert!(fleet.is_refused(&bad));
    assert!(!fleet.is_refused(&prompt(["rare", "other"])));
    fleet.crash(&[prompt(["rare", "other"]).all().to_vec()]);
    assert!(fleet.is_refused(&prompt(["rare", "third"])));
}

/// Guards against a cause that is displaced by the requests that ran beside it.
#[test]
fn cause_is_kept_beside_many_other_requests() {
    let mut fleet = Fleet::new();
    for crash in 0..3 {
        let others = (0..200).map(|number| request(&format!("{crash}-{number}")).all().to_vec());
        let mut runs: Vec<_> = others.collect();
        runs.push(request("bad").all().to_vec());
        fleet.crash(&runs);
    }
    assert!(fleet.is_refused(&request("bad")));
}

/// Guards against parts that count as new since callers invent others.
#[test]
fn invented_parts_do_not_displace_shared_ones() {
    let mut registry = Registry::default();
    let now = Instant(1_000_000);
    let common = prompt(["common", "own"]);
    registry.record_answer(now, &common);
    for number in 0..20_000 {
        registry.record_answer(now, &request(&number.to_string()));
    }
    assert!(registry.are_proven(&process(1), &common));
}

/// Guards against a request that is sent to another server though it was at a crash before.
#[test]
fn suspect_of_another_crash_does_not_run_again() {
    let mut fleet = Fleet::new();
    let bad = request("bad");
    let first = fleet.crash(&[bad.all().to_vec()]);
    assert!(fleet.registries[0].are_proven(&first, &bad));
    assert!(!fleet.registries[0].are_proven(&process(9), &bad));
    assert!(fleet.registries[0].are_proven(&process(9), &request("other")));
}

/// Guards against memory and bytes on the links that grow with the parts that callers invent.
#[test]
fn facts_are_bounded() {
    let mut fleet = Fleet::new();
    for number in 0..200 {
        let prompts: Vec<Vec<Part>> = (0..200)
            .map(|prompt| parts([&format!("p{number}-{prompt}")]))
            .collect();
        fleet.crash(&prompts);
        for prompt in &prompts {
            fleet.registries[0].record_answer(fleet.now, &suspects(prompt));
        }
        fleet.exchange();
    }
    let mut bytes = Vec::new();
    let facts: Facts = fleet.registries[0].facts(fleet.now);
    ciborium::into_writer(&facts, &mut bytes).expect("facts can be encoded");
    let suspects = facts.crashes.iter().map(|crash| crash.suspects.len());
    assert!(suspects.sum::<usize>() <= 32 * 256);
    assert!(facts.crashes.len() <= 256);
    assert!(bytes.len() < 128 << 10, "{} bytes", bytes.len());
}

/// Guards against facts that depend on the order in which they arrive, so that instances disagree for good.
#[test]
fn facts_may_arrive_in_any_order() {
    arbtest::arbtest(|draw| {
        let mut now = Instant(1_000_000);
        let mut told: Vec<Facts> = Vec::new();
        let mut registries = vec![Registry::default(); INSTANCES];
        for number in 0..draw.int_in_range(3..=8_u64)? {
            now = now.after(INTERVAL);
            let process = process(number);
            for (witness, registry) in registries.iter_mut().enumerate() {
                let name = ["a", "b", "c"][draw.int_in_range(0..=2_usize)?];
                registry.record_break(now, &process, &parts([name]));
                registry.record_end(now, &process, witness as u64, INSTANCES);
                told.push(registry.take_news(now));
            }
        }
        let mut backwards = Registry::default();
        let mut forwards = Registry::default();
        for facts in &told {
            forwards.merge(now, facts, true, 8);
        }
        for facts in told.iter().rev() {
            backwards.merge(now, facts, true, 9);
        }
        let names = ["a", "b", "c"].map(part);
        let quarantined = |registry: &Registry| {
            names.map(|part| registry.find_quarantined(now, &[part]).is_some())
        };
        let (first, second) = (forwards.facts(now), backwards.facts(now));
        forwards.merge(now, &second, true, 8);
        backwards.merge(now, &first, true, 9);
        assert_eq!(quarantined(&forwards), quarantined(&backwards));
        Ok(())
    });
}

/// Guards against a rare request whose crashes are forgotten, since many servers crash by themselves in between.
#[test]
fn crashes_of_a_rare_request_are_kept_beside_many_others() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        assert!(!fleet.refuses("bad"));
        fleet.crash(&[parts(["bad"])]);
        for number in 0..OTHER_CRASHES {
            let sound = format!("sound{}-{number}", fleet.crashes);
            fleet.crash(&[parts([&sound])]);
        }
    }
    assert!(fleet.refuses("bad"));
}

/// Guards against the same where servers run many other requests as they crash, which are answered elsewhere.
#[test]
fn crashes_of_a_rare_request_are_kept_beside_many_others_of_busy_servers() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.crash(&[parts(["bad"])]);
        for _ in 0..OTHER_CRASHES {
            let names = (0..BUSY_PARTS).map(|number| format!("sound{}-{number}", fleet.crashes));
            let sound: Vec<Part> = names.map(|name| part(&name)).collect();
            fleet.crash(std::slice::from_ref(&sound));
            for index in 0..INSTANCES {
                fleet.answer(index, &sound);
            }
        }
    }
    assert!(fleet.refuses("bad"));
}

/// Guards against a request that gets the trials of each of its quarantined parts, one after another.
#[test]
fn trials_of_a_request_with_several_quarantined_parts_are_few() {
    let mut fleet = Fleet::new();
    let mut names = ["bad1", "bad2", "bad3"];
    for _ in 0..3 {
        fleet.crash(&[parts(names)]);
    }
    let mut trials = 0;
    let end = fleet.now.after(Duration::from_secs(24 * 3600));
    while fleet.now < end {
        fleet.now = fleet.now.after(Duration::from_secs(10));
        let index = fleet.now.0 as usize % INSTANCES;
        let registry = &mut fleet.registries[index];
        let found = registry.find_quarantined(fleet.now, &parts(names));
        let (part, wait) = found.expect("each of them is quarantined");
        if wait.is_zero() && registry.try_trial(fleet.now, part) {
            trials += 1;
            fleet.exchange();
            fleet.crash(&[parts(names)]);
            // Other requests have them in another order.
            names.rotate_left(1);
        }
        for registry in &mut fleet.registries {
            registry.prune(fleet.now);
        }
    }
    assert!(trials <= 3, "{trials} trials");
}
