//! Answers that are crossed, short, doubled, or not what the protocol says, cut into any pieces.

use fireflywheel::answer;

const ID: &str = "r-17";

fn chunk(id: &str, sequence: u64) -> String {
    format!("data: {{\"id\":\"{id}\",\"seq\":{sequence},\"choices\":[]}}\n\n")
}

fn stream(sequences: &[u64]) -> String {
    let chunks: String = sequences
        .iter()
        .map(|sequence| chunk(ID, *sequence))
        .collect();
    chunks + "data: [DONE]\n\n"
}

/// The number of events and the verdict, with the bytes pushed in pieces of the given lengths.
fn check<I>(
    mut check: answer::StreamChecker,
    bytes: &[u8],
    pieces: I,
) -> (usize, Result<(), answer::Flaw>)
where
    I: IntoIterator<Item = usize>,
{
    let mut rest = bytes;
    let mut events = 0;
    for piece in pieces {
        let (now, later) = rest.split_at(piece.min(rest.len()));
        rest = later;
        events += check.push(now).map_or(0, |events| events.len());
    }
    events += check.push(rest).map_or(0, |events| events.len());
    (events, check.end())
}

macro_rules! streams {
    ($($name:ident: $bytes:expr => $events:expr, $verdict:expr;)*) => {
        /// Each case is a way in which a backend server or a reused connection goes wrong. A caller that was
        /// handed it as whole would take another's quote, or half of one, for its own.
        mod streams {
            use super::*;

            $(#[test]
            fn $name() {
                let bytes: String = $bytes;
                let whole = check(answer::StreamChecker::new(ID), bytes.as_bytes(), []);
                assert_eq!(whole, ($events, $verdict));
                let single = check(answer::StreamChecker::new(ID), bytes.as_bytes(), vec![1; bytes.len()]);
                assert_eq!(single, whole);
            })*
        }
    };
}

streams! {
    whole: stream(&[0, 1, 2]) => 4, Ok(());
    crossed: chunk(ID, 0) + &chunk("r-18", 1) => 1, Err(answer::Flaw::WrongRequest);
    crossed_from_the_start: chunk("r-1", 0) => 0, Err(answer::Flaw::WrongRequest);
    cut_between_chunks: chunk(ID, 0) + &chunk(ID, 1) => 2, Err(answer::Flaw::Truncated);
    cut_within_a_chunk: stream(&[0, 1])[..60].to_owned() => 1, Err(answer::Flaw::Truncated);
    end_marker_cut: stream(&[0])[..stream(&[0]).len() - 1].to_owned() => 1, Err(answer::Flaw::Truncated);
    empty: String::new() => 0, Err(answer::Flaw::Truncated);
    end_marker_alone: stream(&[]) => 0, Err(answer::Flaw::Truncated);
    doubled: stream(&[0, 1, 1, 2]) => 2, Err(answer::Flaw::DuplicateChunk);
    doubled_from_before: stream(&[0, 1, 0]) => 2, Err(answer::Flaw::DuplicateChunk);
    gap: stream(&[0, 2]) => 1, Err(answer::Flaw::MissingChunk);
    gap_at_the_start: stream(&[1, 2]) => 0, Err(answer::Flaw::MissingChunk);
    goes_on_after_the_end: stream(&[0]) + &chunk(ID, 1) => 2, Err(answer::Flaw::TooLong);
    two_ends: stream(&[0]) + "data: [DONE]\n\n" => 2, Err(answer::Flaw::TooLong);
    no_json: "data: {\"id\":\n\n".to_owned() => 0, Err(answer::Flaw::Malformed);
    no_id: "data: {\"seq\":0}\n\n".to_owned() => 0, Err(answer::Flaw::Malformed);
    sequence_stops: chunk(ID, 0) + "data: {\"id\":\"r-17\"}\n\n" => 1, Err(answer::Flaw::Malformed);
    endless_event: "data: ".to_owned() + &"x".repeat(answer::MAX_EVENT_BYTES) => 0, Err(answer::Flaw::TooLong);
    endless_lines: "data: x\n".repeat(answer::MAX_EVENT_BYTES / 2) => 0, Err(answer::Flaw::TooLong);
    other_line_ends: stream(&[0, 1]).replace('\n', "\r\n") => 3, Ok(());
    carriage_returns: stream(&[0, 1]).replace('\n', "\r") => 3, Ok(());
    comments_and_fields: format!(": ping\n\nevent: chunk\nid: 4\n{}", stream(&[0])) => 2, Ok(());
    data_over_two_lines: "data:{\"id\":\ndata:\"r-17\"}\n\ndata:[DONE]\n\n".to_owned() => 2, Ok(());
}

/// A stream broke and goes on at the engine's own resume. A chunk sent again or left out on the way would
/// spoil the answer unseen.
#[test]
fn resumed_stream_goes_on_where_it_broke() {
    let resumed = || answer::StreamChecker::new(ID).with_resume(2);
    assert_eq!(
        check(resumed(), stream(&[2, 3]).as_bytes(), []),
        (3, Ok(()))
    );
    assert_eq!(check(resumed(), stream(&[]).as_bytes(), []), (1, Ok(())));
    assert_eq!(
        check(resumed(), stream(&[1]).as_bytes(), []).1,
        Err(answer::Flaw::DuplicateChunk)
    );
    assert_eq!(
        check(resumed(), stream(&[3]).as_bytes(), []).1,
        Err(answer::Flaw::MissingChunk)
    );
    let mut broken = answer::StreamChecker::new(ID);
    broken.push(chunk(ID, 0).as_bytes()).unwrap();
    broken.push(&chunk(ID, 1).as_bytes()[..9]).unwrap();
    assert_eq!((broken.chunks(), broken.is_ended()), (1, false));
}

/// Bytes arrive in pieces that depend on the network. Were the verdict to depend on them, an answer would be
/// whole on one day and flawed on the next.
#[test]
fn verdict_does_not_depend_on_the_pieces() {
    const BYTES: u64 = 1024;
    for seed in 0..400 {
        let property = |u: &mut arbitrary::Unstructured<'_>| {
            let bytes = spoiled(u)?;
            let whole = check(answer::StreamChecker::new(ID), &bytes, []);
            let pieces: Vec<usize> = (0..40)
                .map(|_| u.int_in_range(0..=60))
                .collect::<Result<_, _>>()?;
            assert_eq!(check(answer::StreamChecker::new(ID), &bytes, pieces), whole);
            Ok(())
        };
        arbtest::arbtest(property).seed(seed << 32 | BYTES).run();
    }
}

/// A good stream with a few bytes changed, or plain garbage.
fn spoiled(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Vec<u8>> {
    if u.ratio(1, 4)? {
        return (0..200)
            .map(|_| u.choose(b"data: {}\"id\n\r\xff[DONE]").copied())
            .collect();
    }
    let count = u.int_in_range(0..=6)?;
    let mut bytes = stream(&(0..count).collect::<Vec<_>>()).into_bytes();
    for _ in 0..u.int_in_range(0..=2)? {
        let place = u.choose_index(bytes.len())?;
        bytes[place] = u.arbitrary()?;
    }
    Ok(bytes)
}

macro_rules! bodies {
    ($($name:ident: $header:expr, $body:expr => $verdict:expr;)*) => {
        /// The same for answers in one piece.
        mod bodies {
            use super::*;

            $(#[test]
            fn $name() {
                let mut body = answer::BodyChecker::new(ID, 64).with_header($header);
                let _ = $body.as_bytes().chunks(3).try_for_each(|piece| body.push(piece));
                assert_eq!(body.end().map(|_| ()), $verdict);
            })*
        }
    };
}

bodies! {
    whole: Some(ID), r#"{"id":"r-17","body":"x"}"# => Ok(());
    crossed_in_the_header: Some("r-1"), r#"{"id":"r-17"}"# => Err(answer::Flaw::WrongRequest);
    crossed_in_the_body: Some(ID), r#"{"id":"r-1"}"# => Err(answer::Flaw::WrongRequest);
    no_header: None, r#"{"id":"r-17"}"# => Err(answer::Flaw::Malformed);
    no_id: Some(ID), r#"{"body":"x"}"# => Err(answer::Flaw::Malformed);
    short: Some(ID), r#"{"id":"r-17","body":"x"# => Err(answer::Flaw::Truncated);
    empty: Some(ID), "" => Err(answer::Flaw::Truncated);
    goes_on: Some(ID), r#"{"id":"r-17"}{"id":"r-17"}"# => Err(answer::Flaw::Malformed);
    long: Some(ID), "x".repeat(65) => Err(answer::Flaw::TooLong);
}
