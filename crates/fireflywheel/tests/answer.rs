//! Answers that belong to another request, are truncated, duplicated or malformed, split into arbitrary
//! pieces.

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

/// Returns the number of events and the result, with the bytes pushed in pieces of the given lengths.
fn check<I>(
    mut checker: answer::StreamChecker,
    bytes: &[u8],
    pieces: I,
) -> (usize, Result<(), answer::Flaw>)
where
    I: IntoIterator<Item = usize>,
{
    let mut rest = bytes;
    let mut events = 0;
    for piece in pieces {
        let (head, tail) = rest.split_at(piece.min(rest.len()));
        rest = tail;
        events += checker.push(head).map_or(0, |events| events.len());
    }
    events += checker.push(rest).map_or(0, |events| events.len());
    (events, checker.end())
}

macro_rules! streams {
    ($($name:ident: $bytes:expr => $events:expr, $result:expr;)*) => {
        /// Each case is a fault of a backend server or of a reused connection. A caller that received such
        /// a stream as complete would take another caller's answer, or part of one, for its own.
        mod streams {
            use super::*;

            $(#[test]
            fn $name() {
                let bytes: String = $bytes;
                let unsplit = check(answer::StreamChecker::new(ID), bytes.as_bytes(), []);
                assert_eq!(unsplit, ($events, $result));
                let single = check(answer::StreamChecker::new(ID), bytes.as_bytes(), vec![1; bytes.len()]);
                assert_eq!(single, unsplit);
            })*
        }
    };
}

streams! {
    complete: stream(&[0, 1, 2]) => 4, Ok(());
    chunk_of_another_request: chunk(ID, 0) + &chunk("r-18", 1) => 1, Err(answer::Flaw::WrongRequest);
    first_chunk_of_another_request: chunk("r-1", 0) => 0, Err(answer::Flaw::WrongRequest);
    truncated_between_chunks: chunk(ID, 0) + &chunk(ID, 1) => 2, Err(answer::Flaw::Truncated);
    truncated_within_a_chunk: stream(&[0, 1])[..60].to_owned() => 1, Err(answer::Flaw::Truncated);
    truncated_end_marker: stream(&[0])[..stream(&[0]).len() - 1].to_owned() => 1, Err(answer::Flaw::Truncated);
    empty: String::new() => 0, Err(answer::Flaw::Truncated);
    end_marker_alone: stream(&[]) => 0, Err(answer::Flaw::Truncated);
    duplicate_chunk: stream(&[0, 1, 1, 2]) => 2, Err(answer::Flaw::DuplicateChunk);
    earlier_chunk_repeated: stream(&[0, 1, 0]) => 2, Err(answer::Flaw::DuplicateChunk);
    missing_chunk: stream(&[0, 2]) => 1, Err(answer::Flaw::MissingChunk);
    missing_first_chunk: stream(&[1, 2]) => 0, Err(answer::Flaw::MissingChunk);
    data_after_the_end_marker: stream(&[0]) + &chunk(ID, 1) => 2, Err(answer::Flaw::TooLong);
    duplicate_end_marker: stream(&[0]) + "data: [DONE]\n\n" => 2, Err(answer::Flaw::TooLong);
    invalid_json: "data: {\"id\":\n\n".to_owned() => 0, Err(answer::Flaw::Malformed);
    missing_id: "data: {\"seq\":0}\n\n".to_owned() => 0, Err(answer::Flaw::Malformed);
    later_chunk_without_sequence_number: chunk(ID, 0) + "data: {\"id\":\"r-17\"}\n\n" => 1, Err(answer::Flaw::Malformed);
    oversized_event: "data: ".to_owned() + &"x".repeat(answer::MAX_EVENT_BYTES) => 0, Err(answer::Flaw::TooLong);
    oversized_event_of_many_lines: "data: x\n".repeat(answer::MAX_EVENT_BYTES / 2) => 0, Err(answer::Flaw::TooLong);
    crlf_line_ends: stream(&[0, 1]).replace('\n', "\r\n") => 3, Ok(());
    cr_line_ends: stream(&[0, 1]).replace('\n', "\r") => 3, Ok(());
    comments_and_fields: format!(": ping\n\nevent: chunk\nid: 4\n{}", stream(&[0])) => 2, Ok(());
    data_on_two_lines: "data:{\"id\":\ndata:\"r-17\"}\n\ndata:[DONE]\n\n".to_owned() => 2, Ok(());
}

/// A stream broke and is resumed at the engine. A duplicate or missing chunk at the resume would corrupt
/// the answer unnoticed.
#[test]
fn resumed_stream_continues_after_the_last_chunk() {
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

/// Bytes arrive in pieces that depend on the network. If the result depended on the pieces, the same answer
/// would be complete one time and flawed another time.
#[test]
fn result_does_not_depend_on_how_bytes_are_split() {
    const INPUT_BYTES: u64 = 1024;
    for seed in 0..400 {
        let property = |u: &mut arbitrary::Unstructured<'_>| {
            let bytes = corrupted_stream(u)?;
            let unsplit = check(answer::StreamChecker::new(ID), &bytes, []);
            let pieces: Vec<usize> = (0..40)
                .map(|_| u.int_in_range(0..=60))
                .collect::<Result<_, _>>()?;
            assert_eq!(
                check(answer::StreamChecker::new(ID), &bytes, pieces),
                unsplit
            );
            Ok(())
        };
        arbtest::arbtest(property)
            .seed(seed << 32 | INPUT_BYTES)
            .run();
    }
}

/// Returns a valid stream with a few bytes changed, or random bytes.
fn corrupted_stream(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Vec<u8>> {
    if u.ratio(1, 4)? {
        return (0..200)
            .map(|_| u.choose(b"data: {}\"id\n\r\xff[DONE]").copied())
            .collect();
    }
    let count = u.int_in_range(0..=6)?;
    let mut bytes = stream(&(0..count).collect::<Vec<_>>()).into_bytes();
    for _ in 0..u.int_in_range(0..=2)? {
        let index = u.choose_index(bytes.len())?;
        bytes[index] = u.arbitrary()?;
    }
    Ok(bytes)
}

macro_rules! bodies {
    ($($name:ident: $header:expr, $body:expr => $result:expr;)*) => {
        /// The same kinds of faults in answers in a single body.
        mod bodies {
            use super::*;

            $(#[test]
            fn $name() {
                let mut body = answer::BodyChecker::new(ID, 64).with_header($header);
                let _ = $body.as_bytes().chunks(3).try_for_each(|piece| body.push(piece));
                assert_eq!(body.end().map(|_| ()), $result);
            })*
        }
    };
}

bodies! {
    complete: Some(ID), r#"{"id":"r-17","body":"x"}"# => Ok(());
    header_of_another_request: Some("r-1"), r#"{"id":"r-17"}"# => Err(answer::Flaw::WrongRequest);
    body_of_another_request: Some(ID), r#"{"id":"r-1"}"# => Err(answer::Flaw::WrongRequest);
    missing_header: None, r#"{"id":"r-17"}"# => Err(answer::Flaw::Malformed);
    missing_id: Some(ID), r#"{"body":"x"}"# => Err(answer::Flaw::Malformed);
    truncated: Some(ID), r#"{"id":"r-17","body":"x"# => Err(answer::Flaw::Truncated);
    empty: Some(ID), "" => Err(answer::Flaw::Truncated);
    data_after_the_body: Some(ID), r#"{"id":"r-17"}{"id":"r-17"}"# => Err(answer::Flaw::Malformed);
    oversized: Some(ID), "x".repeat(65) => Err(answer::Flaw::TooLong);
}
