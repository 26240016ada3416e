//! The scripts of the review. Each starts instances of the project as processes, and a store, workers and callers in this
//! process, and judges what callers and workers saw.

mod deployment;
mod engine;
mod extra_answer;
mod http;
mod origins;
mod record;
mod store;
mod truncated_answer;
mod turns;
mod worker;

use std::path::PathBuf;
use std::{env, panic};

use record::Record;

fn main() {
    let mut words = env::args().skip(1);
    let case = words.next().unwrap_or_default();
    let folder = PathBuf::from(words.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(&folder.join("record.txt"));
    let result = panic::catch_unwind(|| match case.as_str() {
        "extra-answer" => extra_answer::run(&record, has_trouble),
        "origins" => origins::run(&record, has_trouble),
        "turns" => turns::run(&record, has_trouble),
        "truncated-answer" => truncated_answer::run(&record, has_trouble),
        _ => deployment::fail("no such case"),
    });
    let (code, text) = match result {
        Ok(false) => (0, "the rule held"),
        Ok(true) => (1, "the rule was broken"),
        Err(_) => (2, "the case could not run"),
    };
    record.say(text);
    std::process::exit(code);
}
