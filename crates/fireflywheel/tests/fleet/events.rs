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

/// Whether a stream that ends here ends between two events, in one part and byte by byte.
fn is_at_boundary(stream: &str) -> bool {
    let mut whole = Splitter::default();
    whole.push(stream.as_bytes());
    let mut split = Splitter::default();
    let mut events = Vec::new();
    for byte in stream.bytes() {
        split.push(&[byte]);
        events.extend(pop_all(&mut split));
    }
    events.push(String::from_utf8_lossy(&split.take_rest()).into_owned());
    assert_eq!(events.concat(), stream);
    assert_eq!(whole.is_at_boundary(), split.is_at_boundary());
    whole.is_at_boundary()
}

cases! {
    /// An empty body, and one that ends after its head, are not within an event.
    empty_stream_is_at_a_boundary => assert!(is_at_boundary(""));
    /// The last line feed of an empty line is missing.
    missing_line_feed_is_within_an_event => assert!(!is_at_boundary("data: a\n"));
    /// The same with carriage returns.
    missing_line_end_is_within_an_event => assert!(!is_at_boundary("data: a\r\n"));
    /// The empty line is whole, though a line feed may follow.
    half_of_a_line_end_is_at_a_boundary => assert!(is_at_boundary("data: a\r\n\r"));
    /// Both halves of the last line end have arrived, maybe one by one.
    whole_line_end_is_at_a_boundary => assert!(is_at_boundary("data: a\r\n\r\n"));
    /// Some servers end lines with a carriage return alone.
    carriage_returns_end_events => assert!(is_at_boundary("data: a\r\rdata: b\r\r"));
    /// The same within an event.
    carriage_return_within_an_event => assert!(!is_at_boundary("data: a\r\rdata: b\r"));
    /// A comment is no event.
    comment_is_at_a_boundary => assert!(is_at_boundary("data: a\n\n: still there\n"));
    /// A part of a comment may be a part of anything.
    part_of_a_comment_is_within_a_line => assert!(!is_at_boundary("data: a\n\n: still"));
    /// An event may begin with other fields than its id.
    first_line_of_an_event_is_within_it => assert!(!is_at_boundary("data: a\n\nx-version: 2\n"));
    /// An empty line alone ends no event, and is not within one.
    empty_lines_are_at_a_boundary => assert!(is_at_boundary("\n\ndata: a\n\n\n"));
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
