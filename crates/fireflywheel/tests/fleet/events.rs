//! Tests of the event splitter: streams are forwarded in whole events, each of them once.

use arbtest::arbtest;
use fireflywheel::fleet::events::Splitter;

use crate::cases;

fn pop_all(splitter: &mut Splitter) -> Vec<String> {
    let events = std::iter::from_fn(|| splitter.pop());
    events
        .map(|event| String::from_utf8_lossy(&event).into_owned())
        .collect()
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

fn incomplete_event_is_not_returned() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(pop_all(&mut splitter), ["id: 1\ndata: a\n\n"]);
    assert!(!splitter.is_at_boundary());
    splitter.drop_partial();
    splitter.push(event(2).as_bytes());
    assert_eq!(pop_all(&mut splitter), [event(2)]);
    assert!(splitter.is_at_boundary());
}

fn returned_event_is_dropped() {
    let mut splitter = Splitter::default();
    splitter.push((event(1) + &event(2)).as_bytes());
    assert_eq!(pop_all(&mut splitter).len(), 2);
    splitter.push((event(1) + &event(2) + &event(3)).as_bytes());
    assert_eq!(pop_all(&mut splitter), [event(3)]);
    assert_eq!(splitter.last(), Some(3));
}

fn carriage_return_line_feed_ends_event() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 7\r\ndata: x\r\n\r\nid: 8\r\n");
    assert_eq!(pop_all(&mut splitter), ["id: 7\r\ndata: x\r\n\r\n"]);
    assert_eq!(splitter.last(), Some(7));
}

fn event_without_id_is_returned() {
    let mut splitter = Splitter::default();
    splitter.push(b": still there\n\n");
    assert_eq!(pop_all(&mut splitter), [": still there\n\n"]);
}

/// A run that breaks off at any byte, and another that resumes at any earlier event, in chunks of any size.
fn resumed_stream_has_each_event_once() {
    arbtest(|u| {
        let whole: String = (1..=20).map(event).collect();
        let mut splitter = Splitter::default();
        let mut out = String::new();
        let cut = u.int_in_range(0..=whole.len())?;
        let mut remaining = &whole.as_bytes()[..cut];
        while !remaining.is_empty() {
            let (chunk, after) = remaining.split_at(u.int_in_range(1..=remaining.len())?);
            splitter.push(chunk);
            out.extend(pop_all(&mut splitter));
            remaining = after;
        }
        splitter.drop_partial();
        let from = u.int_in_range(1..=splitter.last().unwrap_or_default() + 1)?;
        let again: String = (from..=20).map(event).collect();
        splitter.push(again.as_bytes());
        out.extend(pop_all(&mut splitter));
        assert_eq!(out, whole);
        Ok(())
    });
}

cases! {
    /// A server breaks off within an event. If the partial event were forwarded, it would be joined with an
    /// event of another run.
    incomplete_event_is_held_back => incomplete_event_is_not_returned();
    /// Another run begins before the last event that the caller has received.
    event_of_previous_run_is_dropped => returned_event_is_dropped();
    /// Some servers end lines with a carriage return and a line feed.
    both_line_endings_end_events => carriage_return_line_feed_ends_event();
    /// Comments keep a connection alive and have no id.
    event_without_id_is_forwarded => event_without_id_is_returned();
    /// The events are complete for any break and any chunks.
    arbitrary_break_and_chunks => resumed_stream_has_each_event_once();
}
