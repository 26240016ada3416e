//! The serving configuration: accepted and rejected documents with their faults, and the changes and
//! warnings of an update.

use arbitrary::Unstructured;
use fireflywheel::{document, fault};

const TRAN_GIA: &str = include_str!("../../../docs/examples/tran-gia.ini");
const GRANITE_GRIT: &str = include_str!("../../../docs/examples/granite-grit.ini");

/// A document with every kind of section.
const BASE: &str = "\
[serving]
[class quote]
in_flight = 10
[tenant guides]
in_flight = 5
[group quote-llm]
kind = engine
memory_mb = 24000
slots = 16
[group desk-app]
kind = service
slots = 8
[model quote-small]
group = quote-llm
memory_mb = 14000
replicas = 2
[adapter quote-small:tone]
memory_mb = 200
replicas = 1
[route bookings]
prefix = /bookings
group = desk-app
class = quote
";

fn to_strings<T>(values: &[T]) -> Vec<String>
where
    T: ToString,
{
    values.iter().map(ToString::to_string).collect()
}

/// Returns the base document with one text replaced by another.
fn base_with(from: &str, to: &str) -> String {
    assert!(BASE.contains(from), "the base does not contain {from:?}");
    BASE.replacen(from, to, 1)
}

fn parsed(text: &str) -> document::Document {
    document::Document::parse(text).unwrap_or_else(|faults| panic!("{:#?}", to_strings(&faults)))
}

/// Each case changes the base document in one place and lists all resulting faults.
macro_rules! rejected {
    ($($name:ident: $from:expr => $to:expr, [$($fault:expr),+ $(,)?];)+) => {
        mod rejected {
            $(
                #[test]
                fn $name() {
                    let text = super::base_with($from, $to);
                    let faults = super::document::Document::parse(&text).unwrap_err();
                    assert_eq!(super::to_strings(&faults), [$($fault),+]);
                }
            )+
        }
    };
}

rejected! {
    non_numeric_value: "memory_mb = 14000" => "memory_mb = lots",
        ["line 15, [model quote-small] memory_mb: \"lots\" is not a whole number from 1 to 1,000,000"];
    number_out_of_range: "replicas = 2" => "replicas = 100001",
        ["line 16, [model quote-small] replicas: \"100001\" is not a whole number from 0 to 100,000"];
    signed_number: "replicas = 2" => "replicas = +2",
        ["line 16, [model quote-small] replicas: \"+2\" is not a whole number from 0 to 100,000"];
    number_beyond_64_bits: "slots = 16" => "slots = 99999999999999999999",
        ["line 9, [group quote-llm] slots: \"99999999999999999999\" is not a whole number from 1 to 10,000"];
    empty_value: "slots = 16" => "slots =",
        ["line 9, [group quote-llm] slots: \"\" is not a whole number from 1 to 10,000"];
    nan_weight: "[serving]" => "[serving]\ncold_start_weight = nan",
        ["line 2, [serving] cold_start_weight: \"nan\" is not a number from 0 to 1"];
    missing_key: "replicas = 2\n" => "",
        ["line 13, [model quote-small] replicas: missing; needed is a whole number from 0 to 100,000"];
    misspelled_key: "in_flight = 5" => "in_flight = 5\nshares = 3",
        ["line 6, [tenant guides]: \"shares\" is not a known key; did you mean `share`?"];
    unknown_key: "in_flight = 5" => "in_flight = 5\ncolour = red",
        ["line 6, [tenant guides]: \"colour\" is not a known key"];
    misspelled_section: "[tenant guides]" => "[tennant guides]",
        ["line 4: \"tennant guides\" is not a known section; did you mean `tenant`?"];
    duplicate_key: "replicas = 2" => "replicas = 2\nreplicas = 3",
        ["line 17, [model quote-small] replicas: stands already in line 16"];
    duplicate_section: "[route bookings]" => "[class  quote]\nin_flight = 1\n[route bookings]",
        ["line 20, [class quote]: stands already in line 2"];
    key_outside_of_sections: "[serving]" => "keys = 5\n[serving]",
        ["line 1 keys: stands before the first [section]"];
    line_without_a_value: "slots = 16" => "slots = 16\nslots",
        ["line 10, [group quote-llm]: \"slots\" is not `[section]`, `key = value` or a comment line"];
    continued_line: "slots = 16" => "slots = 16\\",
        ["line 6, [group quote-llm] slots: missing; needed is a whole number from 1 to 10,000",
         "line 9, [group quote-llm]: \"slots = 16\\\\\" is not `[section]`, `key = value` or a comment line"];
    unclosed_bracket: "[tenant guides]" => "[tenant guides",
        ["line 4, [class quote]: \"[tenant guides\" is not `[section]`, `key = value` or a comment line",
         "line 5, [class quote] in_flight: stands already in line 3"];
    no_serving_section: "[serving]\n" => "",
        ["line 1: missing; needed is a section `[serving]`; it may have no keys"];
    serving_with_a_name: "[serving]" => "[serving all]",
        ["line 1: \"serving all\" is not `[serving]`, without a name"];
    name_with_a_slash: "[tenant guides]" => "[tenant guides/vn]",
        ["line 4: \"tenant guides/vn\" is not `[tenant NAME]` with a name of 1 to 64 letters, digits, `-`, `_` and `.`"];
    section_without_a_name: "[tenant guides]" => "[tenant]",
        ["line 4: \"tenant\" is not `[tenant NAME]` with a name of 1 to 64 letters, digits, `-`, `_` and `.`"];
    adapter_without_a_model: "[adapter quote-small:tone]" => "[adapter tone]",
        ["line 17: \"adapter tone\" is not `[adapter MODEL:NAME]`, both names of 1 to 64 letters, digits, `-`, `_` and `.`"];
    adapter_of_an_unknown_model: "[adapter quote-small:tone]" => "[adapter quote-smal:tone]",
        ["line 17, [adapter quote-smal:tone]: there is no [model quote-smal]; did you mean `quote-small`?"];
    unknown_group: "group = quote-llm" => "group = quote-lm",
        ["line 14, [model quote-small] group: \"quote-lm\" is not a known group; did you mean `quote-llm`?"];
    model_in_a_group_of_services: "group = quote-llm" => "group = desk-app",
        ["line 14, [model quote-small] group: [group desk-app] is not of kind `engine`"];
    route_to_a_group_of_engines: "group = desk-app" => "group = quote-llm",
        ["line 22, [route bookings] group: [group quote-llm] is not of kind `service`"];
    route_of_an_unknown_class: "class = quote" => "class = quotes",
        ["line 23, [route bookings] class: \"quotes\" is not a known class; did you mean `quote`?"];
    model_larger_than_a_server: "memory_mb = 14000" => "memory_mb = 24001",
        ["line 15, [model quote-small] memory_mb: 24001 MB in all don't fit the 24000 MB of a backend server of [group quote-llm]"];
    adapter_that_does_not_fit_beside_its_model: "memory_mb = 200" => "memory_mb = 10001",
        ["line 18, [adapter quote-small:tone] memory_mb: 24001 MB in all don't fit the 24000 MB of a backend server of [group quote-llm]"];
    engine_key_in_a_service_group: "slots = 8" => "slots = 8\nmemory_mb = 5",
        ["line 13, [group desk-app] memory_mb: only groups of kind `engine` have this key"];
    unknown_kind: "kind = service" => "kind = plain",
        ["line 11, [group desk-app] kind: \"plain\" is not one of `engine`, `service`"];
    unknown_fencing: "slots = 16" => "slots = 16\nfencing = perhaps",
        ["line 10, [group quote-llm] fencing: \"perhaps\" is not one of `checked`, `forgets`, `ignored`"];
    zero_pin_release: "slots = 16" => "slots = 16\npin_release = 0",
        ["line 10, [group quote-llm] pin_release: \"0\" is not `acknowledged` or a whole number of seconds from 1 to 604,800"];
    prefix_without_a_slash: "prefix = /bookings" => "prefix = bookings",
        ["line 21, [route bookings] prefix: \"bookings\" is not a path such as `/bookings`: `/` and letters, digits, `-`, `_`, `.`, `~`, without empty or dot segments"];
    prefix_with_dot_segments: "prefix = /bookings" => "prefix = /a/../v1",
        ["line 21, [route bookings] prefix: \"/a/../v1\" is not a path such as `/bookings`: `/` and letters, digits, `-`, `_`, `.`, `~`, without empty or dot segments"];
    prefix_reserved_for_models: "prefix = /bookings" => "prefix = /v1/chat/completions",
        ["line 21, [route bookings] prefix: /v1/chat belongs to the models"];
    prefix_reserved_for_models_with_a_slash: "prefix = /bookings" => "prefix = /v1/chat/",
        ["line 21, [route bookings] prefix: /v1/chat belongs to the models"];
    duplicate_prefix: "[route bookings]" => "[route a]\nprefix = /bookings/\ngroup = desk-app\nclass = quote\n[route bookings]",
        ["line 25, [route bookings] prefix: `/bookings` is the prefix of [route a] too"];
    unknown_method: "class = quote" => "class = quote\nidempotent = GET, get",
        ["line 24, [route bookings] idempotent: \"get\" is not one of GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH"];
    duplicate_method: "class = quote" => "class = quote\nidempotent = GET, GET",
        ["line 24, [route bookings] idempotent: a method stands twice"];
    all_faults_are_reported: "[serving]" => "[serving]\nkeys = 0\nstore_loads_at_once = none\n[clas x]\n[tenant a b]",
        ["line 2, [serving] keys: \"0\" is not a whole number from 1 to 1,000,000",
         "line 3, [serving] store_loads_at_once: \"none\" is not a whole number from 1 to 10,000",
         "line 4: \"clas x\" is not a known section; did you mean `class`?",
         "line 5: \"tenant a b\" is not `[tenant NAME]` with a name of 1 to 64 letters, digits, `-`, `_` and `.`",
         "line 5, [tenant a b] in_flight: missing; needed is a whole number from 0 to 1,000,000"];
}

/// Each case changes the base document in one place and yields a valid document.
macro_rules! accepted {
    ($($name:ident: $from:expr => $to:expr;)+) => {
        mod accepted {
            $(
                #[test]
                fn $name() {
                    let document = super::parsed(&super::base_with($from, $to));
                    assert_eq!(super::parsed(&document.to_string()), document);
                }
            )+
        }
    };
}

accepted! {
    comments_and_indentation: "slots = 16" => "  ; a comment\n\t# another\n   slots=16";
    windows_line_ends: "[serving]\n" => "[serving]\r\n\r\n";
    byte_order_mark: "[serving]" => "\u{feff}[serving]";
    spaces_in_a_header: "[tenant guides]" => "  [ tenant   guides ]  ";
    zero_replicas: "replicas = 2" => "replicas = 0";
    timed_pin_release: "slots = 16" => "slots = 16\nfencing = forgets\npin_release = 900";
    no_idempotent_methods: "class = quote" => "class = quote\nidempotent =";
    prefix_resembling_the_model_prefix: "prefix = /bookings" => "prefix = /v1/chatter";
    root_prefix: "prefix = /bookings" => "prefix = /";
    deadline: "in_flight = 10" => "in_flight = 10\ndeadline_ms = 8000\nqueue = 0";
    equals_sign_in_a_comment: "[serving]" => "# a = [b\n[serving]";
}

#[test]
fn values_are_read_into_their_fields() {
    let document = parsed(BASE);
    assert_eq!(document.serving, document::Serving::default());
    assert_eq!(document.classes["quote"].in_flight, 10);
    assert_eq!(document.tenants["guides"].share, 1);
    assert_eq!(document.groups["quote-llm"].memory_mb, 24_000);
    assert_eq!(
        document.groups["quote-llm"].fencing,
        document::Fencing::Ignored
    );
    assert_eq!(document.groups["desk-app"].kind, document::Kind::Service);
    assert_eq!(document.models["quote-small"].version, 1);
    assert_eq!(document.adapters["quote-small"]["tone"].memory_mb, 200);
    assert_eq!(document.routes["bookings"].idempotent, ["GET", "HEAD"]);
}

#[test]
fn examples_have_the_expected_sizes() {
    for text in [TRAN_GIA, GRANITE_GRIT] {
        let document = parsed(text);
        assert_eq!(document.models.len(), 65);
        let adapters = document
            .adapters
            .values()
            .map(std::collections::BTreeMap::len);
        assert_eq!(adapters.sum::<usize>(), 75);
        assert_eq!(parsed(&document.to_string()), document);
    }
}

/// An operator publishes an empty file or, by mistake, megabytes of text. Without these limits every model
/// would be unloaded, or each instance would exhaust its memory on the text.
#[test]
fn empty_and_oversized_texts_are_rejected() {
    assert!(document::Document::parse("").is_err());
    let long = "#".repeat(document::MAX_BYTES + 1);
    let faults = document::Document::parse(&long).unwrap_err();
    assert_eq!(
        to_strings(&faults),
        ["line 1: the text is longer than 921600 bytes, the most that is allowed"]
    );
    let full = format!("{BASE}{}", "#".repeat(document::MAX_BYTES - BASE.len()));
    assert_eq!(parsed(&full), parsed(BASE));
}

#[test]
fn excess_faults_are_counted() {
    let text = format!("{BASE}{}", "x\n".repeat(5000));
    let faults = document::Document::parse(&text).unwrap_err();
    assert_eq!(faults.len(), fault::MAX_FAULTS + 1);
    let last = faults.last().unwrap().to_string();
    assert!(last.ends_with("4000 more faults are not shown"), "{last}");
}

/// Each case changes the base document and lists the changes and warnings shown to operators.
macro_rules! changes {
    ($($name:ident: $from:expr => $to:expr, [$($change:expr),*], [$($warning:expr),*];)+) => {
        mod changes {
            $(
                #[test]
                fn $name() {
                    let old = super::parsed(super::BASE);
                    let new = super::parsed(&super::base_with($from, $to));
                    let changes = super::document::diff(&old, &new);
                    let expected: Vec<&str> = vec![$($change),*];
                    assert_eq!(super::to_strings(&changes), expected);
                    let warnings = super::document::warnings(&old, &new);
                    let expected: Vec<&str> = vec![$($warning),*];
                    assert_eq!(super::to_strings(&warnings), expected);
                }
            )+
        }
    };
}

changes! {
    formatting_only: "slots = 16" => "# same\nslots   =   0016", [], [];
    cap_lowered: "replicas = 2" => "replicas = 1",
        ["replica cap of model quote-small: 2 -> 1"],
        ["model quote-small: cap lowered from 2 to 1; replicas beyond it will be unloaded"];
    cap_raised: "replicas = 2" => "replicas = 3", ["replica cap of model quote-small: 2 -> 3"], [];
    adapter_removed: "[adapter quote-small:tone]\nmemory_mb = 200\nreplicas = 1\n" => "",
        ["adapter quote-small:tone: removed"],
        ["adapter quote-small:tone: removed; its replicas will be unloaded and its requests refused"];
    version_raised: "replicas = 2" => "replicas = 2\nversion = 2",
        ["version of model quote-small: 1 -> 2"],
        ["model quote-small: replicas of version 1 will be unloaded to make way for version 2"];
    class_added: "[class quote]" => "[class slow]\nin_flight = 1\n[class quote]", ["class slow: added"], [];
    deadline_added: "in_flight = 10" => "in_flight = 10\ndeadline_ms = 50",
        ["deadline_ms of class quote: none -> 50"], [];
    group_added: "[group desk-app]\nkind = service\nslots = 8\n" => "[group desk-two]\nkind = service\nslots = 8\n[group desk-app]\nkind = service\nslots = 8\n",
        ["group desk-two: added"], [];
    memory_lowered: "memory_mb = 24000" => "memory_mb = 16000",
        ["memory_mb of each backend server of group quote-llm: 24000 -> 16000"],
        ["group quote-llm: memory lowered from 24000 MB to 16000 MB; what does not fit will be unloaded"];
    fencing_trusted: "slots = 16" => "slots = 16\nfencing = checked\npin_release = 60",
        ["fencing of group quote-llm: ignored -> checked",
         "pin_release of group quote-llm: acknowledged -> 60"],
        ["group quote-llm: its engines are trusted to refuse old fencing numbers, also after a restart; if they don't, a late order can exceed a cap or the memory",
         "group quote-llm: pins end after 60 s of silence; an order held up longer can exceed a cap or the memory"];
    methods_made_idempotent: "class = quote" => "class = quote\nidempotent = GET, POST\ndeduplicates = yes",
        ["idempotent of route bookings: GET, HEAD -> GET, POST",
         "deduplicates of route bookings: no -> yes"],
        ["route bookings: POST may be sent again now after a failure, and so run more than once",
         "route bookings: its service is trusted to run an Idempotency-Key at most once; no claim is recorded any more"];
    key_memory_shortened: "[serving]" => "[serving]\nkey_memory_s = 3600",
        ["key_memory_s of serving: 86400 -> 3600"],
        ["serving: outcomes of idempotency keys are remembered for 3600 s instead of 86400 s; a repeat after that runs again"];
}

#[test]
fn removing_a_group_and_a_route_gives_warnings() {
    let old = parsed(BASE);
    let route = "[route bookings]\nprefix = /bookings\ngroup = desk-app\nclass = quote\n";
    let group = "[group desk-app]\nkind = service\nslots = 8\n";
    let text = BASE.replace(route, "").replace(group, "");
    let warnings = document::warnings(&old, &parsed(&text));
    assert_eq!(
        to_strings(&warnings),
        [
            "group desk-app: removed; its backend servers get no more work, and their replicas are unloaded",
            "route bookings: removed; requests for its paths will be refused",
        ]
    );
}

/// Returns a document with some lines removed, duplicated, swapped, extended or replaced by random text.
fn mutated_text(u: &mut Unstructured<'_>) -> arbitrary::Result<String> {
    let mut lines: Vec<String> = BASE.lines().map(str::to_owned).collect();
    for _ in 0..u.int_in_range(1..=6)? {
        let at = u.choose_index(lines.len())?;
        match u.int_in_range(0..=6)? {
            0 => lines[at].clear(),
            1 => lines.insert(at, lines[at].clone()),
            2 => lines.swap(at, 0),
            3 => lines[at] = u.arbitrary()?,
            4 => lines.insert(at, "  ; a comment".to_owned()),
            5 => lines[at].push(' '),
            _ => {
                let noise: String = u.arbitrary()?;
                lines[at].push_str(&noise);
            }
        }
    }
    Ok(lines.join("\n"))
}

/// Operators' files may be truncated, duplicated or corrupted. A text that panicked the parser would stop
/// every instance at the same record of the log, so that no instance could serve callers.
#[test]
fn any_text_is_accepted_or_rejected() {
    let mut accepted = 0;
    for seed in 0..3000 {
        run_property(seed, |u| {
            let text = if u.ratio(1, 4)? {
                u.arbitrary()?
            } else {
                mutated_text(u)?
            };
            match document::Document::parse(&text) {
                Ok(document) => {
                    accepted += 1;
                    assert_eq!(parsed(&document.to_string()), document, "seed {seed}");
                    assert!(document::diff(&document, &document).is_empty());
                }
                Err(faults) => check_faults(&text, &faults, seed),
            }
            Ok(())
        });
    }
    assert!(accepted > 100, "only {accepted} texts were accepted");
}

fn check_faults(text: &str, faults: &[fault::Fault], seed: u64) {
    let last = text.lines().count().max(1);
    assert!(!faults.is_empty() && faults.len() <= fault::MAX_FAULTS + 1);
    for fault in faults {
        assert!(
            (1..=last).contains(&fault.line),
            "seed {seed}: {fault} in {last} lines"
        );
        assert!(fault.found.chars().count() <= 81, "seed {seed}: {fault}");
    }
}

/// Runs a property on 2 KiB of random data with a fixed seed; arbtest takes the length from the seed's low
/// half.
fn run_property<F>(seed: u64, property: F)
where
    F: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    arbtest::arbtest(property).seed(seed << 32 | 2048).run();
}
