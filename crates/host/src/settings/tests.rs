//! Valid and invalid settings files.

use super::*;

/// A valid file.
pub(crate) const QUICKSTART: &str = include_str!("../../../../examples/quickstart.toml");

fn errors_of(text: &str) -> String {
    HostSettings::from_toml(text).expect_err("the settings must be rejected").to_string()
}

#[test]
fn the_quickstart_is_valid_and_classifies_every_request() {
    let settings = HostSettings::from_toml(QUICKSTART).unwrap_or_else(|e| panic!("{e}"));
    let class = |op, bytes| {
        let fields = Fields { op, bytes, ..Fields::default() };
        settings.class_names[usize::from(settings.matching.class_of(&fields))].clone()
    };
    assert_eq!(class("read", 65_536), "small-read");
    assert_eq!(class("verify", 65_537), "large-read");
    assert_eq!(class("compare-and-write", 512), "compare-and-write");
    assert_eq!((class("write", 0), class("flush", 0)), ("write".to_owned(), "flush".to_owned()));
    assert!(settings.units_of(0) >= 1.0 && settings.units_of(u64::MAX) <= settings.scheduler.max_units);
}

/// The quickstart with a route for large reads of one initiator, and further settings of its first class.
fn with_route(route: &str, terms: &str) -> String {
    let with_table = QUICKSTART.replacen(
        "# Which request",
        &format!("[[route]]\nname = \"office\"\nclass = \"large-read\"\n{route}\n# Which request"),
        1,
    );
    let row = "class \"office\" if glob(initiator, \"*:office-*\") and bytes > 64KiB and op == \"read\";\nclass \"small-read\"";
    let with_row = with_table.replacen("class \"small-read\"", row, 1);
    let with_terms = with_row.replacen("aim = \"150ms\"", &format!("{terms}\naim = \"150ms\""), 1);
    with_terms.replacen("max_attempts", "second_copies = true\nmax_attempts", 1)
}

#[test]
fn a_route_is_its_class_with_some_values_replaced() {
    let text = with_route(
        "deadline = \"9s\"\nattempt = \"2s\"\nattempts = 3\nretry_spread = \"100ms\"",
        "second_copy_after = \"80ms\"",
    );
    let settings = HostSettings::from_toml(&text).unwrap_or_else(|e| panic!("{e}"));
    let class = |name: &str| {
        let at = settings.class_names.iter().position(|n| n == name).unwrap();
        (at as u16, settings.scheduler.classes[at].clone())
    };
    let (office, route) = class("office");
    let (_, large) = class("large-read");
    assert_eq!((route.aim_ms, route.deadline_ms, route.worth), (large.aim_ms, 9000.0, large.worth));
    let policy = pearfork::AttemptPolicy {
        attempt_timeout_ms: 2000.0,
        attempts: 3,
        retry_jitter_ms: 100.0,
        ..Default::default()
    };
    assert_eq!((route.attempt_policy, large.attempt_policy), (policy, pearfork::AttemptPolicy::default()));
    assert_eq!(class("small-read").1.attempt_policy.hedge_after_ms, 80.0);
    let fields = Fields {
        op: "read",
        bytes: 1 << 20,
        initiator: "iqn.2026-12.org.example:office-4",
        ..Fields::default()
    };
    assert_eq!(settings.matching.class_of(&fields), office);
}

#[test]
fn routes_that_break_a_rule_or_match_no_request_are_rejected_with_line_and_accepted_value() {
    let line = |text: &str, key: &str| 1 + text.lines().position(|l| l.starts_with(key)).unwrap();
    for (route, terms, key, want) in [
        ("deadline = \"500ms\"", "", "[[route]]", "route `office`, aim: rule 1, one final answer in time"),
        ("attempts = 9", "", "attempts = 9", "accepted: 4 at most"),
        (
            "attempt = \"3s\"\nattempts = 3",
            "",
            "attempts = 3",
            "rule 1, one final answer in time: `office` asks for 3 attempts",
        ),
        (
            "second_copy_after = \"5s\"",
            "",
            "second_copy_after",
            "when the first is over; accepted: less than 4000ms",
        ),
        (
            "",
            "second_copy_after = \"80ms\"\nattempts = 1",
            "second_copy_after",
            "class `small-read`, second_copy_after: rule 6",
        ),
        ("class_of = 1", "", "", "unknown field `class_of`"),
        ("attempts = 0", "", "", "attempts is 0"),
        ("attempt = \"0ms\"", "", "", "attempt is 0"),
        ("attempt = 1.2", "", "", "attempt = 1.2"),
    ] {
        let text = with_route(route, terms);
        let errors = errors_of(&text);
        assert!(errors.contains(want), "{route}: {errors}");
        assert!(
            key.is_empty() || errors.contains(&format!("line {},", line(&text, key))),
            "{route}: {errors}"
        );
    }
    let unsafe_copy =
        QUICKSTART.replace("effect = \"unsafe\"", "effect = \"unsafe\"\nsecond_copy_after = \"50ms\"");
    let errors = errors_of(&unsafe_copy);
    assert!(
        errors.contains(
            "rule 2, no effect twice: `compare-and-write` permits a second copy, and must not run twice"
        ),
        "{errors}"
    );
    let text = with_route("", "");
    assert!(errors_of(&text.replace("class \"office\" if", "class \"small-read\" if"))
        .contains("no request can reach it"));
    let covered =
        text.replace("class \"office\" if", "class \"large-read\" if bytes > 4KiB;\nclass \"office\" if");
    assert!(errors_of(&covered).contains("route `office`: no request can reach it"));
    assert!(errors_of(&text.replace("class = \"large-read\"", "class = \"larger-read\""))
        .contains("there is no class `larger-read`"));
    assert!(
        errors_of(&text.replace("name = \"office\"", "name = \"write\"")).contains("`write` is given twice")
    );
}

#[test]
fn errors_in_matching_rules_name_their_place_in_the_file() {
    let line = 1 + QUICKSTART.lines().position(|l| l.starts_with("class \"flush\"")).expect("a row");
    let errors = errors_of(&QUICKSTART.replace("op == \"flush\"", "op == \"flash\""));
    assert!(
        errors.contains(&format!("settings:{line}:24")) && errors.contains("did you mean \"flush\"?"),
        "{errors}"
    );
    let errors = errors_of(&QUICKSTART.replace("class \"flush\"", "class \"flash\""));
    assert!(
        errors.contains(&format!("settings:{line}:1")) && errors.contains("no [[class]] `flash`"),
        "{errors}"
    );
    // A string with escapes does not occur literally in the file: its lines are counted from its own start.
    let escaped = QUICKSTART.replacen("rules = '''", "rules = \"\"\"\nclass \\\"flush\\\" if op == 5;", 1);
    let errors = errors_of(&escaped.replacen("'''", "\"\"\"", 1));
    assert!(errors.contains("match.rules:1:24"), "{errors}");
}

#[test]
fn errors_in_a_separate_rules_file_name_that_file() {
    let (from, to) =
        (QUICKSTART.find("rules = '''").expect("rules"), QUICKSTART.find("'''\n\n").expect("their end"));
    let (rules, text) = (
        &QUICKSTART[from + 12..to],
        [&QUICKSTART[..from], "file = \"a.rules\"", &QUICKSTART[to + 3..]].concat(),
    );
    let with = |rules: String| {
        HostSettings::from_source(
            "settings",
            &text,
            &|name| {
                assert_eq!(name, "a.rules");
                Ok(rules.clone())
            },
            &Overrides::default(),
        )
    };
    assert!(with(rules.to_owned()).is_ok());
    let errors = with(rules.replace("otherwise", "if lba")).unwrap_err().to_string();
    assert!(errors.contains("a.rules:5:23"), "{errors}");
    let missing = HostSettings::from_source(
        "settings",
        &text,
        &|_| Err("no such file".to_owned()),
        &Overrides::default(),
    );
    assert!(missing.unwrap_err().to_string().contains("match.file a.rules: no such file"));
    let absent =
        HostSettings::load(std::path::Path::new("/nonexistent/settings.toml")).unwrap_err().to_string();
    assert!(absent.contains("/nonexistent/settings.toml"), "{absent}");
}

#[test]
fn a_key_that_divides_a_block_gives_a_warning_if_a_class_is_ordered() {
    let ordered = QUICKSTART.replacen("effect = \"unsafe\"", "effect = \"unsafe\"\nordered = true", 1);
    let with = |text: &str, key: &str| {
        let text = text.replacen(
            "class \"large-read\" otherwise;",
            &format!("class \"large-read\" otherwise;\nkey = {key};"),
            1,
        );
        HostSettings::from_toml(&text).unwrap_or_else(|e| panic!("{e}")).warnings.join("\n")
    };
    assert_eq!(with(&ordered, "hash(volume, lba / 2048)"), "");
    assert!(with(&ordered, "lba / 1000").contains("volume `demo` `lba / 1000`"));
    assert!(with(&ordered, "hash(initiator)").contains("differ in initiator"));
    assert_eq!(with(QUICKSTART, "hash(initiator)"), "", "no class is ordered");
}

#[test]
fn all_errors_are_reported_and_each_names_its_entry() {
    let two_errors =
        QUICKSTART.replace("plan = \"standard\"", "plan = \"nobody\"").replace("number = 0", "number = 9");
    let errors = errors_of(&two_errors);
    assert!(errors.contains("there is no plan `nobody`") && errors.contains("number 9"), "{errors}");
    let cases = [
        ("[rules]", "[transport]\nextension = false\n[rules]", "is keyed, and nodes learn"),
        ("effect = \"unsafe\"", "effect = \"safe\"", "must not run twice"),
        ("op == \"write\"", "op == \"wirte\"", "did you mean \"write\"?"),
        ("class \"flush\"", "class \"rinse\"", "no [[class]] `rinse`"),
        ("[match]", "[match]\nmax_steps = 40", "40 are the most"),
        ("[match]", "[match]\nfile = \"x.rules\"", "either `rules` or `file`"),
        ("drain_grace = \"2s\"", "drain_grace = 2", "line"),
        ("drain_grace = \"2s\"", "drain_grace = \"2\"", "has no unit"),
        ("drain_grace = \"2s\"", "drain_grase = \"2s\"", "drain_grase"),
        ("window = \"1.2s\"", "", "is keyed"),
        ("max_attempts = 4", "max_attempts = 0", "max_attempts"),
        ("extent = \"1MiB\"", "extent = \"1000B\"", "extent must be"),
        ("shards = [", "shards = [] # ", "names no shard"),
        ("size = \"64MiB\"", "size = \"0B\"", "size must be"),
    ];
    for (from, to, want) in cases {
        assert!(QUICKSTART.contains(from), "{from}");
        let errors = errors_of(&QUICKSTART.replacen(from, to, 1));
        assert!(errors.contains(want), "{to}: {errors}");
    }
}

/// The quickstart in two files: the classes and rules are in a file that the other one includes.
fn layered(main: &str, over: &Overrides) -> Result<HostSettings, HostSettingsErrors> {
    let at = QUICKSTART.find("[rules]").expect("rules");
    let base = &QUICKSTART[at..];
    let text = format!("include = [\"site/base.toml\"]\n{main}\n{}", &QUICKSTART[..at]);
    HostSettings::from_source(
        "host.toml",
        &text,
        &|path| match path {
            "site/base.toml" => Ok(base.to_owned()),
            "site/a.rules" => Ok("class \"write\" if op == \"write\";\n".to_owned()),
            _ => Err(format!("no such file {path}")),
        },
        over,
    )
}

fn overrides(flags: &[&str]) -> Overrides {
    Overrides::new(Vec::new(), flags.iter().map(|f| (*f).to_owned()).collect())
}

#[test]
fn layered_settings_equal_those_of_one_file_and_each_value_has_its_origin() {
    let settings = layered("", &Overrides::default()).unwrap_or_else(|e| panic!("{e}"));
    let one = HostSettings::from_toml(QUICKSTART).unwrap();
    assert_eq!((&settings.scheduler, &settings.class_names), (&one.scheduler, &one.class_names));
    assert_eq!(settings.provenance.fingerprint(), one.provenance.fingerprint());
    // The resolved text gives the same settings and refers to no other file.
    let again = HostSettings::from_toml(settings.provenance.resolved()).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((&again.scheduler, again.listen), (&settings.scheduler, settings.listen));
    assert_eq!(again.provenance.fingerprint(), settings.provenance.fingerprint());

    let set = overrides(&["class.write.deadline=3s", "rules.drain_grace=1500ms"]);
    let settings = layered("", &set).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(settings.scheduler.drain_grace_ms, 1500.0);
    assert_ne!(settings.provenance.fingerprint(), one.provenance.fingerprint());
    let explained = |key: &str| {
        let e = settings.provenance.explain(key).unwrap_or_else(|e| panic!("{e}")).remove(0);
        let hidden: Vec<String> = e.hides.iter().map(|(o, v)| format!("{v} of {o}")).collect();
        format!("{} by {} hides {}", e.value, e.origin, hidden.join(", "))
    };
    let line = |key: &str| {
        let base = &QUICKSTART[QUICKSTART.find("[rules]").unwrap()..];
        1 + base.lines().position(|l| l.starts_with(key)).unwrap()
    };
    let want = format!(
        "\"1500ms\" by --set rules.drain_grace=1500ms hides \"2s\" of site/base.toml line {}",
        line("drain_grace")
    );
    assert_eq!(explained("rules.drain_grace"), want);
    assert_eq!(
        explained("rules.cold_from"),
        format!("0.2 by site/base.toml line {} hides ", line("cold_from"))
    );
    assert_eq!(explained("transport.drain"), "\"5s\" by default hides ");
    assert_eq!(settings.provenance.explain("class.write").unwrap().len(), 11);
    let unknown = settings.provenance.explain("rules.drain_grase").unwrap_err().to_string();
    assert!(unknown.contains("did you mean `rules.drain_grace`?"), "{unknown}");
}

#[test]
fn errors_name_the_layer_that_set_the_value() {
    let errors = |main: &str, flags: &[&str]| {
        layered(main, &overrides(flags)).expect_err("the settings must be rejected").to_string()
    };
    let flag = errors("", &["rules.drain_grase=2s"]);
    assert!(flag.contains("--set rules.drain_grase=2s: `rules.drain_grase`: unknown field"), "{flag}");
    let unit = errors("", &["class.write.aim=1.2"]);
    assert!(
        unit.contains("--set class.write.aim=1.2: `class.write.aim`: invalid type: floating point"),
        "{unit}"
    );
    let unit = errors("", &["class.write.aim=\"1.2\""]);
    assert!(unit.contains("`1.2` has no unit"), "{unit}");
    // An error by one of the seven rules names the layer that set the value.
    let rule = errors("", &["class.write.deadline=10ms"]);
    assert!(rule.contains("rule 1, one final answer in time"), "{rule}");
    let copy = errors("[[class]]\nname = \"compare-and-write\"\nsecond_copy_after = \"50ms\"", &[]);
    assert!(
        copy.contains("host.toml line 4, class `compare-and-write`, second_copy_after: rule 2"),
        "{copy}"
    );
    let class = errors("[[class]]\nname = \"extra\"\naim = \"1s\"", &[]);
    assert!(class.contains("host.toml line 2: `class.extra`: missing field `deadline`"), "{class}");
    // The path of a rules file is relative to the file that names it; errors in the rules name the rules
    // file.
    let rules = errors("", &["match.file=site/a.rules"]);
    assert!(rules.contains("site/a.rules"), "{rules}");
    let text = errors("", &["match.rules=class \"write\" if lba;"]);
    assert!(text.contains("--set match.rules="), "{text}");
    assert!(errors("", &["format=9"]).contains("reads format 1"));
}
