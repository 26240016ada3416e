//! Streams are handed on in whole events, each once.

use arbtest::arbtest;
use fireflywheel::fleet::events::Splitter;

use crate::cases;

fn taken(splitter: &mut Splitter) -> Vec<String> {
    let events = std::iter::from_fn(|| splitter.pop());
    events
        .map(|event| String::from_utf8_lossy(&event).into_owned())
        .collect()
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

fn half_event_is_kept_back() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(taken(&mut splitter), ["id: 1\ndata: a\n\n"]);
    assert!(!splitter.is_at_boundary());
    splitter.drop_partial();
    splitter.push(event(2).as_bytes());
    assert_eq!(taken(&mut splitter), [event(2)]);
    assert!(splitter.is_at_boundary());
}

fn repeated_event_is_dropped() {
    let mut splitter = Splitter::default();
    splitter.push((event(1) + &event(2)).as_bytes());
    assert_eq!(taken(&mut splitter).len(), 2);
    splitter.push((event(1) + &event(2) + &event(3)).as_bytes());
    assert_eq!(taken(&mut splitter), [event(3)]);
    assert_eq!(splitter.last(), Some(3));
}

fn carriage_returns_end_events() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 7\r\ndata: x\r\n\r\nid: 8\r\n");
    assert_eq!(taken(&mut splitter), ["id: 7\r\ndata: x\r\n\r\n"]);
    assert_eq!(splitter.last(), Some(7));
}

fn event_without_id_is_handed_on() {
    let mut splitter = Splitter::default();
    splitter.push(b": still there\n\n");
    assert_eq!(taken(&mut splitter), [": still there\n\n"]);
}

/// A run that breaks off anywhere, and another that begins anywhere before that, in pieces of any size.
fn any_break_gives_each_event_once() {
    arbtest(|u| {
        let whole: String = (1..=20).map(event).collect();
        let mut splitter = Splitter::default();
        let mut out = String::new();
        let cut = u.int_in_range(0..=whole.len())?;
        let mut rest = &whole.as_bytes()[..cut];
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(u.int_in_range(1..=rest.len())?);
            splitter.push(piece);
            out.extend(taken(&mut splitter));
            rest = after;
        }
        splitter.drop_partial();
        let from = u.int_in_range(1..=splitter.last().unwrap_or_default() + 1)?;
        let again: String = (from..=20).map(event).collect();
        splitter.push(again.as_bytes());
        out.extend(taken(&mut splitter));
        assert_eq!(out, whole);
        Ok(())
    });
}

cases! {
    /// A server breaks off within an event. Its half, once handed on, would be joined with another run's event.
    half_event => half_event_is_kept_back();
    /// Another run begins before the last event that the caller has.
    repeated_event => repeated_event_is_dropped();
    /// Some servers end lines with both characters.
    line_ends => carriage_returns_end_events();
    /// Comments keep a connection alive and have no id.
    no_id => event_without_id_is_handed_on();
    /// Any break, any pieces.
    any_break => any_break_gives_each_event_once();
}
