//! Settings, right and wrong.

use super::*;

/// A file in which everything is right.
pub(crate) const GOOD: &str = include_str!("../../../../examples/quickstart.toml");

fn words(text: &str) -> String {
    HostSettings::from_toml(text).expect_err("a fault").to_string()
}

#[test]
fn the_quickstart_is_right_and_classifies_everything() {
    let plan = HostSettings::from_toml(GOOD).unwrap_or_else(|e| panic!("{e}"));
    let class = |op, bytes| {
        let fields = Fields { op, bytes, ..Fields::default() };
        plan.class_names[usize::from(plan.matching.class_of(&fields))].clone()
    };
    assert_eq!(class("read", 65_536), "small-read");
    assert_eq!(class("verify", 65_537), "large-read");
    assert_eq!(class("compare-and-write", 512), "compare-and-write");
    assert_eq!((class("write", 0), class("flush", 0)), ("write".to_owned(), "flush".to_owned()));
    assert!(plan.units_of(0) >= 1.0 && plan.units_of(u64::MAX) <= plan.scheduler.max_units);
}

/// The quickstart with a route for large reads of one initiator, and terms.
fn routed(route: &str, terms: &str) -> String {
    let with_route = GOOD.replacen(
        "# Which request",
        &format!("[[route]]\nname = \"office\"\nclass = \"large-read\"\n{route}\n# Which request"),
        1,
    );
    let row = "class \"office\" if glob(initiator, \"*:office-*\") and bytes > 64KiB and op == \"read\";\nclass \"small-read\"";
    let with_row = with_route.replacen("class \"small-read\"", row, 1);
    let with_terms = with_row.replacen("aim = \"150ms\"", &format!("{terms}\naim = \"150ms\""), 1);
    with_terms.replacen("max_attempts", "second_copies = true\nmax_attempts", 1)
}

#[test]
fn a_route_is_its_class_with_other_figures() {
    let text = routed(
        "deadline = \"9s\"\nattempt = \"2s\"\nattempts = 3\nretry_spread = \"100ms\"",
        "second_copy_after = \"80ms\"",
    );
    let plan = HostSettings::from_toml(&text).unwrap_or_else(|e| panic!("{e}"));
    let class = |name: &str| {
        let at = plan.class_names.iter().position(|n| n == name).unwrap();
        (at as u16, plan.scheduler.classes[at].clone())
    };
    let (office, route) = class("office");
    let (_, large) = class("large-read");
    assert_eq!((route.aim_ms, route.deadline_ms, route.worth), (large.aim_ms, 9000.0, large.worth));
    let terms = pearfork::AttemptPolicy {
        attempt_timeout_ms: 2000.0,
        attempts: 3,
        retry_jitter_ms: 100.0,
        ..Default::default()
    };
    assert_eq!((route.attempt_policy, large.attempt_policy), (terms, pearfork::AttemptPolicy::default()));
    assert_eq!(class("small-read").1.attempt_policy.hedge_after_ms, 80.0);
    let fields = Fields {
        op: "read",
        bytes: 1 << 20,
        initiator: "iqn.2026-12.org.example:office-4",
        ..Fields::default()
    };
    assert_eq!(plan.matching.class_of(&fields), office);
}

#[test]
fn routes_that_break_a_rule_or_reach_nobody_are_refused_with_line_and_remedy() {
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
        let text = routed(route, terms);
        let told = words(&text);
        assert!(told.contains(want), "{route}: {told}");
        assert!(key.is_empty() || told.contains(&format!("line {},", line(&text, key))), "{route}: {told}");
    }
    let unsafe_copy =
        GOOD.replace("effect = \"unsafe\"", "effect = \"unsafe\"\nsecond_copy_after = \"50ms\"");
    let told = words(&unsafe_copy);
    assert!(
        told.contains(
            "rule 2, no effect twice: `compare-and-write` permits a second copy, and must not run twice"
        ),
        "{told}"
    );
    let text = routed("", "");
    assert!(words(&text.replace("class \"office\" if", "class \"small-read\" if"))
        .contains("no request can reach it"));
    let covered =
        text.replace("class \"office\" if", "class \"large-read\" if bytes > 4KiB;\nclass \"office\" if");
    assert!(words(&covered).contains("route `office`: no request can reach it"));
    assert!(words(&text.replace("class = \"large-read\"", "class = \"larger-read\""))
        .contains("there is no class `larger-read`"));
    assert!(words(&text.replace("name = \"office\"", "name = \"write\"")).contains("`write` is given twice"));
}

#[test]
fn faults_of_rules_stand_where_the_file_has_them() {
    let line = 1 + GOOD.lines().position(|l| l.starts_with("class \"flush\"")).expect("a row");
    let told = words(&GOOD.replace("op == \"flush\"", "op == \"flash\""));
    assert!(
        told.contains(&format!("settings:{line}:24")) && told.contains("did you mean \"flush\"?"),
        "{told}"
    );
    let told = words(&GOOD.replace("class \"flush\"", "class \"flash\""));
    assert!(told.contains(&format!("settings:{line}:1")) && told.contains("no [[class]] `flash`"), "{told}");
    // With escapes the text in the file is another than the one that is read.
    let escaped = GOOD.replacen("rules = '''", "rules = \"\"\"\nclass \\\"flush\\\" if op == 5;", 1);
    let told = words(&escaped.replacen("'''", "\"\"\"", 1));
    assert!(told.contains("match.rules:1:24"), "{told}");
}

#[test]
fn rules_of_a_file_beside_the_settings_are_read_and_shown_under_its_name() {
    let (from, to) = (GOOD.find("rules = '''").expect("rules"), GOOD.find("'''\n\n").expect("their end"));
    let (rules, text) =
        (&GOOD[from + 12..to], [&GOOD[..from], "file = \"a.rules\"", &GOOD[to + 3..]].concat());
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
    let told = with(rules.replace("otherwise", "if lba")).unwrap_err().to_string();
    assert!(told.contains("a.rules:5:23"), "{told}");
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
fn a_key_that_gives_one_block_two_keys_is_told_where_a_class_is_ordered() {
    let ordered = GOOD.replacen("effect = \"unsafe\"", "effect = \"unsafe\"\nordered = true", 1);
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
    assert_eq!(with(GOOD, "hash(initiator)"), "", "nothing is ordered");
}

#[test]
fn faults_name_their_entry_and_all_of_them_are_told() {
    let twice = GOOD.replace("plan = \"standard\"", "plan = \"nobody\"").replace("number = 0", "number = 9");
    let told = words(&twice);
    assert!(told.contains("there is no plan `nobody`") && told.contains("number 9"), "{told}");
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
        assert!(GOOD.contains(from), "{from}");
        let told = words(&GOOD.replacen(from, to, 1));
        assert!(told.contains(want), "{to}: {told}");
    }
}

/// The quickstart in two files: classes and rules in one that the other includes.
fn layered(main: &str, over: &Overrides) -> Result<HostSettings, HostSettingsErrors> {
    let at = GOOD.find("[rules]").expect("rules");
    let base = &GOOD[at..];
    let text = format!("include = [\"site/base.toml\"]\n{main}\n{}", &GOOD[..at]);
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

fn over(flags: &[&str]) -> Overrides {
    Overrides::new(Vec::new(), flags.iter().map(|f| (*f).to_owned()).collect())
}

#[test]
fn layers_make_the_plan_that_one_file_makes_and_each_value_tells_where_it_came_from() {
    let plan = layered("", &Overrides::default()).unwrap_or_else(|e| panic!("{e}"));
    let one = HostSettings::from_toml(GOOD).unwrap();
    assert_eq!((&plan.scheduler, &plan.class_names), (&one.scheduler, &one.class_names));
    assert_eq!(plan.provenance.fingerprint(), one.provenance.fingerprint());
    // The resolved text is the same plan again, and refers to nothing.
    let again = HostSettings::from_toml(plan.provenance.resolved()).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((&again.scheduler, again.listen), (&plan.scheduler, plan.listen));
    assert_eq!(again.provenance.fingerprint(), plan.provenance.fingerprint());

    let set = over(&["class.write.deadline=3s", "rules.drain_grace=1500ms"]);
    let plan = layered("", &set).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(plan.scheduler.drain_grace_ms, 1500.0);
    assert_ne!(plan.provenance.fingerprint(), one.provenance.fingerprint());
    let told = |key: &str| {
        let e = plan.provenance.explain(key).unwrap_or_else(|e| panic!("{e}")).remove(0);
        let hides: Vec<String> = e.hides.iter().map(|(o, v)| format!("{v} of {o}")).collect();
        format!("{} by {} hides {}", e.value, e.origin, hides.join(", "))
    };
    let line = |key: &str| {
        let base = &GOOD[GOOD.find("[rules]").unwrap()..];
        1 + base.lines().position(|l| l.starts_with(key)).unwrap()
    };
    let want = format!(
        "\"1500ms\" by --set rules.drain_grace=1500ms hides \"2s\" of site/base.toml line {}",
        line("drain_grace")
    );
    assert_eq!(told("rules.drain_grace"), want);
    assert_eq!(told("rules.cold_from"), format!("0.2 by site/base.toml line {} hides ", line("cold_from")));
    assert_eq!(told("transport.drain"), "\"5s\" by default hides ");
    assert_eq!(plan.provenance.explain("class.write").unwrap().len(), 11);
    let unknown = plan.provenance.explain("rules.drain_grase").unwrap_err().to_string();
    assert!(unknown.contains("did you mean `rules.drain_grace`?"), "{unknown}");
}

#[test]
fn faults_of_layers_name_the_layer() {
    let told = |main: &str, flags: &[&str]| layered(main, &over(flags)).expect_err("a fault").to_string();
    let flag = told("", &["rules.drain_grase=2s"]);
    assert!(flag.contains("--set rules.drain_grase=2s: `rules.drain_grase`: unknown field"), "{flag}");
    let unit = told("", &["class.write.aim=1.2"]);
    assert!(
        unit.contains("--set class.write.aim=1.2: `class.write.aim`: invalid type: floating point"),
        "{unit}"
    );
    let unit = told("", &["class.write.aim=\"1.2\""]);
    assert!(unit.contains("`1.2` has no unit"), "{unit}");
    // A refusal by one of the seven rules says which layer asks for it.
    let rule = told("", &["class.write.deadline=10ms"]);
    assert!(rule.contains("rule 1, one final answer in time"), "{rule}");
    let copy = told("[[class]]\nname = \"compare-and-write\"\nsecond_copy_after = \"50ms\"", &[]);
    assert!(
        copy.contains("host.toml line 4, class `compare-and-write`, second_copy_after: rule 2"),
        "{copy}"
    );
    let class = told("[[class]]\nname = \"extra\"\naim = \"1s\"", &[]);
    assert!(class.contains("host.toml line 2: `class.extra`: missing field `deadline`"), "{class}");
    // Rules in a file stand beside the file that names them; a fault in them shows in their own name.
    let rules = told("", &["match.file=site/a.rules"]);
    assert!(rules.contains("site/a.rules"), "{rules}");
    let text = told("", &["match.rules=class \"write\" if lba;"]);
    assert!(text.contains("--set match.rules="), "{text}");
    assert!(told("", &["format=9"]).contains("reads format 1"));
}
