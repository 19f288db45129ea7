//! Validation of team documents, with the position and field that an error names, and their
//! canonical JSON form.

use expect_test::expect;
use hawthornhill_types::{DocumentError, TeamDocument};
use proptest::prelude::*;

fn parse_error(text: &str) -> String {
    TeamDocument::parse(text.as_bytes()).expect_err("must be refused").to_string()
}

#[test]
fn errors_name_the_invalid_field() {
    let service = |fields: &str| {
        format!(
            "{{\"team\": \"depots\",\n \"services\": [\n  {{\"name\": \"zaloga\", {fields}}}]}}"
        )
    };
    let cases = [
        ("{", "field document"),
        ("{\"services\": []}", "missing field `team`"),
        ("{\"team\": \"Depots\", \"services\": []}", "field team"),
        (&service("\"priority\": 10"), "services[0].priority"),
        (&service("\"priority\": -1"), "services[0].priority"),
        (&service("\"priority\": \"high\""), "services[0].priority"),
        (&service("\"priority\": 0, \"timeout_ms\": 0"), "services[0].timeout_ms"),
        (&service("\"priority\": 0, \"timeout_ms\": \"1s\""), "services[0].timeout_ms"),
        (&service("\"priority\": 0, \"timout_ms\": 5"), "services[0].timout_ms"),
        (&service("\"priority\": 0, \"hedge_percent\": 21"), "services[0].hedge_percent"),
        (&service("\"priority\": 0, \"cold_concurrency\": 0"), "services[0].cold_concurrency"),
        (&service("\"priority\": 0, \"probes_per_minute\": 601"), "services[0].probes_per_minute"),
        (
            &service(
                "\"priority\": 0, \"non_repeatable\": [{\"method\": \"post\", \"path\": \"/\"}]",
            ),
            "services[0].non_repeatable[0].method",
        ),
        (
            &service(
                "\"priority\": 0, \"non_repeatable\": [{\"method\": \"POST\", \"path\": \"x\"}]",
            ),
            "services[0].non_repeatable[0].path",
        ),
        (
            "{\"team\": \"a\", \"services\": [{\"name\": \"s\", \"priority\": 1}, \
             {\"name\": \"s\", \"priority\": 1}]}",
            "services[1].name",
        ),
    ];
    for (text, field) in cases {
        let error = parse_error(text);
        assert!(error.contains(field), "{text}\n{error}");
    }
}

#[test]
fn type_error_states_line_and_column() {
    let text =
        "{\"team\": \"depots\",\n \"services\": [\n  {\"name\": \"zaloga\", \"priority\": \"x\"}]}";
    expect![[
        r#"line 3, column 36, field services[0].priority: invalid type: string "x", expected u8"#
    ]]
    .assert_eq(&parse_error(text));
}

#[test]
fn oversize_document_is_refused() {
    let text = " ".repeat(300 * 1024);
    let error = TeamDocument::parse(text.as_bytes()).expect_err("must be refused");
    assert!(matches!(error, DocumentError::Field { field, .. } if field == "document"));
}

#[test]
fn defaults_are_printed_and_parsed_back() {
    let text = "{\"team\": \"depots\", \"services\": [{\"name\": \"zaloga\", \"priority\": 0}]}";
    let document = TeamDocument::parse(text.as_bytes()).expect("valid");
    let printed = document.to_json();
    expect![[r#"
        {
          "team": "depots",
          "services": [
            {
              "name": "zaloga",
              "priority": 0,
              "non_repeatable": [],
              "timeout_ms": 2000,
              "retry_percent": 10,
              "hedge_percent": 0,
              "cold_concurrency": 1,
              "probes_per_minute": 12
            }
          ]
        }
    "#]]
    .assert_eq(&printed);
    assert_eq!(TeamDocument::parse(printed.as_bytes()), Ok(document));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_are_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(TeamDocument::parse(&bytes).is_err());
    }

    #[test]
    fn damaged_documents_are_refused_or_valid(offset in 0..200_usize, flip in any::<u8>()) {
        let text = "{\"team\": \"depots\", \"services\": [{\"name\": \"zaloga\", \"priority\": 0, \"non_repeatable\": [{\"method\": \"POST\", \"path\": \"/\"}]}]}";
        let mut bytes = text.as_bytes().to_vec();
        let index = offset % bytes.len();
        bytes[index] ^= flip;
        if let Ok(document) = TeamDocument::parse(&bytes) {
            prop_assert_eq!(document.verify(), Ok(()));
        }
    }
}
