//! Property tests against a reference evaluator that walks the syntax tree, and tests of limits and
//! diagnostics.

use crate::ast::{Expr, ExprKind, Row};
use crate::domain::{Domain, Pattern};
use crate::lexer::lex;
use crate::parser::Parser;
use crate::program::{compare, hash, Fields, Glob, Value, FIELDS};
use crate::region::{Bindings, Cell};
use crate::{Rules, Severity};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Evaluates an expression by walking the tree; `let` definitions are evaluated at each use.
fn evaluate<'a>(e: &'a Expr, f: &Fields<'a>, lets: &'a [(String, crate::Span, Expr)]) -> Value<'a> {
    let truth = |e: &'a Expr| evaluate(e, f, lets) == Value::Bool(true);
    let int = |e: &'a Expr| if let Value::Int(n) = evaluate(e, f, lets) { n } else { 0 };
    let text = |e: &'a Expr| if let Value::Text(t) = evaluate(e, f, lets) { t } else { "" };
    match &e.kind {
        ExprKind::Int(n) | ExprKind::Size(n) | ExprKind::Duration(n) => Value::Int(*n),
        ExprKind::Bool(b) => Value::Bool(*b),
        ExprKind::Text(t) => Value::Text(t),
        ExprKind::Name(n) => match FIELDS.iter().find(|x| x.0 == n) {
            Some(x) => f.value(x.1),
            None => evaluate(&lets.iter().find(|l| l.0 == *n).expect("a `let` definition").2, f, lets),
        },
        ExprKind::Not(a) => Value::Bool(!truth(a)),
        ExprKind::And(a) => Value::Bool(a.iter().all(truth)),
        ExprKind::Or(a) => Value::Bool(a.iter().any(truth)),
        ExprKind::Compare(c, a, b) => Value::Bool(compare(*c, evaluate(a, f, lets), evaluate(b, f, lets))),
        ExprKind::In(a, items) => {
            Value::Bool(items.iter().any(|i| evaluate(i, f, lets) == evaluate(a, f, lets)))
        }
        ExprKind::Chain(a, rest) => Value::Int(rest.iter().fold(int(a), |n, (op, t)| op.apply(n, int(t)))),
        ExprKind::If(a, b, c) => evaluate(if truth(a) { b } else { c }, f, lets),
        ExprKind::Invalid => unreachable!("a file with errors"),
        ExprKind::Call(n, a) => match n.as_str() {
            "hash" => Value::Int(hash(&a.iter().map(|x| evaluate(x, f, lets)).collect::<Vec<_>>())),
            "starts_with" => Value::Bool(text(&a[0]).starts_with(text(&a[1]))),
            "ends_with" => Value::Bool(text(&a[0]).ends_with(text(&a[1]))),
            "contains" => Value::Bool(text(&a[0]).contains(text(&a[1]))),
            _ => Value::Bool(Glob::new(text(&a[1])).matches(text(&a[0]))),
        },
    }
}

/// Reference evaluation: the class of the first row that matches, and the key.
fn reference(text: &str, f: &Fields<'_>) -> (Option<String>, Option<u64>) {
    let mut diagnostics = Vec::new();
    let tokens = lex(text, &mut diagnostics);
    let file = Parser::new(&tokens, &mut diagnostics).parse_file();
    assert!(diagnostics.is_empty(), "{diagnostics:?}");
    let holds =
        |r: &&Row| r.condition.as_ref().is_none_or(|w| evaluate(w, f, &file.lets) == Value::Bool(true));
    let key = file.key.as_ref().map(|k| match evaluate(k, f, &file.lets) {
        Value::Int(n) => n as u64,
        _ => 0,
    });
    (file.classes.iter().find(holds).map(|r| r.result.clone()), key)
}

fn int_expression(depth: u32) -> BoxedStrategy<String> {
    let leaf = prop_oneof![
        Just("lba".to_owned()),
        Just("blocks".to_owned()),
        Just("lun".to_owned()),
        Just("group".to_owned()),
        Just("number".to_owned()),
        (0i64..5000).prop_map(|n| n.to_string()),
        Just("9223372036854775807".to_owned()),
        Just("bytes / 512B".to_owned()),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let op = prop_oneof![Just("+"), Just("-"), Just("*"), Just("/"), Just("%")];
    prop_oneof![
        leaf,
        (int_expression(depth - 1), op, int_expression(depth - 1))
            .prop_map(|(a, o, b)| format!("(if true then {a} else 1) {o} (lba + {b})")),
        (bool_expression(depth - 1), int_expression(depth - 1), int_expression(depth - 1))
            .prop_map(|(t, a, b)| format!("(if {t} then {a} else {b})")),
        (int_expression(depth - 1), Just("volume")).prop_map(|(a, b)| format!("hash({a}, {b}, fua)")),
    ]
    .boxed()
}

fn bool_expression(depth: u32) -> BoxedStrategy<String> {
    let c = || prop_oneof![Just("=="), Just("!="), Just("<"), Just("<="), Just(">"), Just(">=")];
    let leaf = prop_oneof![
        Just("fua".to_owned()),
        Just("flag".to_owned()),
        prop_oneof![Just("read"), Just("write"), Just("flush")].prop_map(|o| format!("op == \"{o}\"")),
        "[ab]{0,3}".prop_map(|t| format!("starts_with(volume, \"{t}\")")),
        "[ab*]{0,6}".prop_map(|t| format!("glob(initiator, \"{t}\")")),
        "[ab]{0,2}".prop_map(|t| format!("volume in [\"{t}\", \"a\", \"ab\"]")),
        (0u64..9).prop_map(|n| format!("lun == {n}")),
        (1u64..200).prop_map(|n| format!("bytes <= {n}KiB")),
        (c(), 0i64..40).prop_map(|(c, n)| format!("lba {c} {n}")),
        (0i64..40, c()).prop_map(|(n, c)| format!("{n} {c} blocks")),
        (c(), -3i64..6).prop_map(|(c, n)| format!("lba / 8 {c} (0 - 3) + {}", n + 3)),
        (0i64..40, 0i64..40).prop_map(|(a, b)| format!("lba >= {a} and lba < {b}")),
        (0i64..20, 0i64..20).prop_map(|(a, b)| format!("lba / 2 in [{a}, {b}, 7]")),
        "[ab]{0,2}".prop_map(|t| format!("volume != \"{t}\"")),
        "[ab]{0,2}".prop_map(|t| format!("not (volume in [\"{t}\", \"b\"]) and fua == false")),
        prop_oneof![Just("read"), Just("write"), Just("flush")].prop_map(|o| format!("op != \"{o}\"")),
        (0i64..9).prop_map(|n| format!("(if fua then lun < {n} else starts_with(volume, \"a\"))")),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    prop_oneof![
        leaf,
        (int_expression(depth - 1), c(), int_expression(depth - 1))
            .prop_map(|(a, c, b)| format!("{a} {c} {b}")),
        bool_expression(depth - 1).prop_map(|a| format!("not ({a})")),
        (bool_expression(depth - 1), bool_expression(depth - 1))
            .prop_map(|(a, b)| format!("({a}) and ({b})")),
        (bool_expression(depth - 1), bool_expression(depth - 1)).prop_map(|(a, b)| format!("({a} or {b})")),
    ]
    .boxed()
}

/// A file with a class row for each condition, and a key.
fn rules_text(rows: &[String], key: &str) -> String {
    let mut text =
        "let number = lba % 77 + 1;\nlet flag = number > 30 or fua;\nlet eight = 2 * 4;\n".to_owned();
    for (i, r) in rows.iter().enumerate() {
        text += &format!("class \"c{i}\" if {r};\n");
    }
    text + &format!("class \"rest\" otherwise;\nkey = {key};\n")
}

/// The parts of a request: op, volume, initiator, lba, blocks, lun, fua.
type RequestParts = (&'static str, String, String, u64, u64, u16, bool);

prop_compose! {
    /// Requests with values close to the constants of generated rows.
    fn request_parts()(
        op in prop_oneof![Just("read"), Just("write"), Just("flush")],
        volume in "[ab]{0,3}", initiator in "[ab]{0,8}",
        lba in prop_oneof![0u64..45, any::<u64>()], blocks in prop_oneof![0u64..45, 0u64..3000], lun in 0u16..9, fua: bool,
    ) -> RequestParts {
        (op, volume, initiator, lba, blocks, lun, fua)
    }
}

fn fields(r: &RequestParts) -> Fields<'_> {
    let (op, volume, initiator, lba, blocks, lun, fua) = r;
    Fields {
        op,
        volume,
        initiator,
        lba: *lba,
        blocks: *blocks,
        lun: *lun,
        fua: *fua,
        bytes: blocks * 512,
        ..Default::default()
    }
}

/// Reference implementation: whether a cell contains a request.
fn cell_contains(cell: &Cell, f: &Fields<'_>) -> bool {
    cell.0.iter().all(|(field, domain)| match (f.value(*field), domain) {
        (Value::Int(n), Domain::Ints(r)) => r.iter().any(|r| r.0 <= n && n <= r.1),
        (Value::Bool(b), Domain::Ints(r)) => r.iter().any(|r| r.0 <= i64::from(b) && i64::from(b) <= r.1),
        (Value::Text(t), Domain::Texts(p)) => p.iter().any(|p| match p {
            Pattern::Exact(e) => e == t,
            Pattern::Prefix(p) => t.starts_with(p.as_str()),
        }),
        (Value::Text(t), Domain::AllExcept(not)) => !not.contains(t),
        _ => panic!("{field:?} in {domain:?}"),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(600) })]

    #[test]
    fn regions_contain_all_matching_requests_and_exact_ones_no_others(
        text in bool_expression(3), requests in proptest::collection::vec(request_parts(), 24),
    ) {
        let file_text = rules_text(std::slice::from_ref(&text), "1");
        let mut diagnostics = Vec::new();
        let file = Parser::new(&lex(&file_text, &mut diagnostics), &mut diagnostics).parse_file();
        let mut bindings = Bindings::default();
        file.lets.iter().for_each(|l| bindings.add(&l.0, &l.2));
        let condition = file.classes[0].condition.as_ref().expect("a condition");
        for expected in [true, false] {
            let region = bindings.region(condition, expected);
            for r in &requests {
                let f = fields(r);
                let holds = (evaluate(condition, &f, &file.lets) == Value::Bool(true)) == expected;
                let is_contained = region.cells.iter().any(|c| cell_contains(c, &f));
                prop_assert!(!holds || is_contained, "{text} {f:?} left out of {region:?}");
                prop_assert!(!is_contained || holds || !region.exact, "{text} {f:?} is not in {region:?}");
            }
        }
    }

    #[test]
    fn rows_with_a_never_matches_warning_never_match(
        rows in proptest::collection::vec(bool_expression(1), 0..12), requests in proptest::collection::vec(request_parts(), 40),
    ) {
        let text = rules_text(&rows, "1");
        let Ok(rules) = Rules::compile(text.as_bytes()) else { return Ok(()) };
        for r in &requests {
            let explained = rules.explain(&fields(r));
            let matched = explained.rows.last().expect("a row that matched");
            prop_assert!(matched.matched);
            prop_assert_eq!(Some(matched.class.as_str()), rules.class(&fields(r)));
            let warned = rules.warnings().0.iter().any(|w| w.span == matched.span);
            prop_assert!(!warned, "{}\n{:?}", text, fields(r));
            prop_assert!(rules.reachable_classes(r.0).contains(&matched.class.as_str()));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(300) })]

    #[test]
    fn compiled_rules_agree_with_the_reference_within_their_step_bound(
        rows in proptest::collection::vec(bool_expression(3), 0..40),
        key in int_expression(2),
        request in request_parts(),
    ) {
        let text = rules_text(&rows, &key);
        let rules = match Rules::compile(text.as_bytes()) {
            Ok(rules) => rules,
            // A generated expression may overflow, divide by zero or need too many stack slots; the error
            // says which.
            Err(e) => {
                let is_expected = e.0.iter().all(|d| d.message.contains("overflows") || d.message.contains("at once") || d.message.contains("zero"));
                prop_assert!(is_expected, "{}", e.render("generated", text.as_bytes(), Severity::Error));
                return Ok(());
            }
        };
        let f = fields(&request);
        prop_assert_eq!(rules.class_index(&f), rules.class_index_linear(&f));
        let (mut class_steps, mut key_steps) = (0u64, 0u64);
        let class = rules.class_observed(&f, &mut class_steps).map(str::to_owned);
        let key = rules.key_observed(&f, &mut key_steps);
        prop_assert_eq!((class, key), reference(&text, &f));
        prop_assert!(class_steps + key_steps <= rules.worst_steps(), "{class_steps} + {key_steps}");
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Rules::compile(&bytes);
    }

    #[test]
    fn arbitrary_token_sequences_do_not_panic(words in proptest::collection::vec(prop_oneof![
        Just("class"), Just("if"), Just("\"a\""), Just("("), Just(")"), Just("["), Just("]"), Just("and"), Just("not"),
        Just("lba"), Just("=="), Just("+"), Just("1"), Just("4KiB"), Just(";"), Just("let"), Just("x"), Just("="),
        Just("hash"), Just("glob"), Just(","), Just("in"), Just("then"), Just("else"), Just("key"), Just("otherwise"),
    ], 0..60)) {
        let text = words.join(" ");
        if let Err(e) = Rules::compile(text.as_bytes()) {
            prop_assert!(!e.render("generated", text.as_bytes(), Severity::Error).is_empty());
        }
    }
}

/// The rendered errors of a file that must be rejected.
fn rejected(text: &str) -> String {
    let text = format!("{text}\nclass \"rest\" otherwise;\n");
    Rules::compile(text.as_bytes()).expect_err(&text).render("f", text.as_bytes(), Severity::Error)
}

#[test]
fn adversarial_files_are_rejected_or_bounded() {
    let deep = |open: &str, close: &str, n: usize| {
        format!("class \"a\" if {}true{};", open.repeat(n), close.repeat(n))
    };
    for n in [100, 100_000] {
        assert!(rejected(&deep("(", ")", n)).contains("nested deeper"));
        assert!(rejected(&deep("not ", "", n)).contains("nested deeper"));
        assert!(rejected(&deep("if true then ", " else true", n)).contains("nested deeper"));
    }
    // About a mebibyte of `and` is long but not deep: it is accepted, and the step bound grows with its
    // length.
    let long = format!("class \"a\" if {}true;\nclass \"rest\" otherwise;", "true and ".repeat(100_000));
    let rules = Rules::compile(long.as_bytes()).unwrap();
    assert!(rules.worst_steps() >= 200_000);
    assert_eq!(rules.class(&Fields::default()), Some("a"));
    // Each `let` uses the previous one twice. Values are shared; inlined expressions would grow
    // exponentially.
    let mut sharing = "let a0 = lba;\n".to_owned();
    for i in 1..32 {
        sharing += &format!("let a{i} = a{} + a{};\n", i - 1, i - 1);
    }
    sharing += "class \"a\" if a31 == 0;\nclass \"rest\" otherwise;";
    assert!(Rules::compile(sharing.as_bytes()).unwrap().worst_steps() < 1_000);
}

/// The compiler merges a comparison of a field with a constant into one instruction. It must not do so when
/// the field is the last branch of an `if`, whose other branch jumps to the comparison.
#[test]
fn an_if_that_ends_in_a_field_is_compared_as_a_whole() {
    let text = b"class \"a\" if (if fua then 5 else lba) == 5;\nclass \"b\" otherwise;";
    let rules = Rules::compile(text).unwrap();
    let class = |fua, lba| rules.class(&Fields { fua, lba, ..Fields::default() }).map(str::to_owned);
    assert_eq!(class(true, 9).as_deref(), Some("a"));
    assert_eq!((class(false, 5).as_deref(), class(false, 9).as_deref()), (Some("a"), Some("b")));
}

#[test]
fn ten_thousand_exact_values_use_the_decision_tree() {
    let mut text = String::new();
    for i in 0..10_000 {
        text += &format!("class \"c{i}\" if volume == \"v{i}\" and bytes <= 64KiB;\n");
    }
    text += "class \"rest\" otherwise;";
    let rules = Rules::compile(text.as_bytes()).unwrap();
    assert!(rules.worst_steps() < 300, "{}", rules.worst_steps());
    let class_of =
        |volume, bytes| rules.class(&Fields { volume, bytes, ..Default::default() }).map(str::to_owned);
    assert_eq!(class_of("v7345", 4096).as_deref(), Some("c7345"));
    assert_eq!(class_of("v7345", 1 << 20).as_deref(), Some("rest"));
    assert_eq!(class_of("nobody", 1).as_deref(), Some("rest"));
}

#[test]
fn ten_thousand_ranges_and_prefixes_use_the_decision_tree() {
    let compile_rows = |row: &dyn Fn(usize) -> String| {
        let rows: String = (0..10_000).map(|i| format!("class \"c{i}\" if {};\n", row(i))).collect();
        Rules::compile(format!("{rows}class \"rest\" otherwise;").as_bytes()).unwrap()
    };
    let apart = compile_rows(&|i| format!("lba >= {} and lba < {}", i * 10, i * 10 + 8));
    assert!(apart.worst_steps() < 300, "{}", apart.worst_steps());
    let class_of = |lba| apart.class(&Fields { lba, ..Default::default() }).map(str::to_owned);
    assert_eq!((class_of(77_777).as_deref(), class_of(77_778).as_deref()), (Some("c7777"), Some("rest")));
    let extents = compile_rows(&|i| format!("lba / 2048 == {i} and op == \"write\""));
    assert!(extents.worst_steps() < 300, "{}", extents.worst_steps());
    let prefixes = compile_rows(&|i| format!("starts_with(volume, \"v{i:04}-\")"));
    assert!(prefixes.worst_steps() < 300, "{}", prefixes.worst_steps());
    let volume = "v4711-notes";
    assert_eq!(prefixes.class(&Fields { volume, ..Default::default() }), Some("c4711"));
    // Nested ranges overlap in `lba`, but the rows are still distinguished by `bytes`.
    let nested = compile_rows(&|i| format!("lba <= {} and bytes == {i}B", 20_000 - i));
    assert!(nested.worst_steps() < 300, "{}", nested.worst_steps());
    let unindexable = compile_rows(&|i| format!("contains(volume, \"v{i}\")"));
    assert!(unindexable.worst_steps() > 10_000);
}

#[test]
fn exceeding_the_step_limit_reports_the_most_expensive_row() {
    let text = "class \"a\" if fua;\nclass \"b\" if contains(volume, \"x\") and contains(target, \"y\");\nclass \"c\" otherwise;";
    let steps = Rules::compile(text.as_bytes()).unwrap().worst_steps();
    assert!(Rules::compile_with_limit(text.as_bytes(), steps).is_ok());
    let rejected = Rules::compile_with_limit(text.as_bytes(), steps - 1).unwrap_err();
    let message = rejected.render("f", text.as_bytes(), Severity::Error);
    assert!(
        message.contains(&format!("may take {steps} steps")) && message.contains("2 | class \"b\""),
        "{message}"
    );
}

#[test]
fn key_conflicts_are_reported_where_one_block_may_have_two_keys() {
    let conflicts = |key: &str| {
        let text = format!("let run = 2048;\nlet part = lba / run;\nclass \"a\" otherwise;\nkey = {key};");
        let rules = Rules::compile(text.as_bytes()).unwrap_or_else(|e| panic!("{e:?}"));
        rules.key_dependencies().expect("a key").conflicts(1024)
    };
    for valid_key in [
        "hash(volume, lba / 2048)",
        "hash(volume, part % 7)",
        "hash(lun, plan, lba / run)",
        "5",
        "lba / 1024 * 3",
    ] {
        assert_eq!(conflicts(valid_key), Vec::<String>::new(), "{valid_key}");
    }
    for (key, expected) in [
        ("hash(volume, blocks)", "differ in blocks"),
        ("hash(initiator, lba / 2048)", "differ in initiator"),
        ("if fua then 1 else 2", "differ in fua"),
        ("time / 1s", "differ in time"),
        ("lba", "other than in `lba / N`"),
        ("lba % 8", "other than in `lba / N`"),
        ("lba / 1000", "not a multiple of the extent's 1024"),
        ("lba / blocks", "other than in `lba / N`"),
    ] {
        let message = conflicts(key).join("; ");
        assert!(message.contains(expected), "{key}: {message}");
    }
}

#[test]
fn explain_shows_the_tests_up_to_the_short_circuit() {
    let text = "let small = 64KiB;\nclass \"a\" if op == \"write\" and bytes <= small and fua;\nclass \"b\" otherwise;";
    let rules = Rules::compile(text.as_bytes()).unwrap();
    let explanation = rules.explain(&Fields { op: "write", bytes: 70_000, ..Fields::default() });
    assert_eq!(explanation.lets, [("small".to_owned(), "65536".to_owned())]);
    let tests: Vec<(&str, bool, String)> = explanation.rows[0]
        .tests
        .iter()
        .map(|t| (&text[t.span.start..t.span.end], t.outcome, t.operands.join(" ")))
        .collect();
    let expected = [
        ("op == \"write\"", true, "\"write\" \"write\"".to_owned()),
        ("bytes <= small", false, "70000 65536".to_owned()),
    ];
    assert_eq!(tests, expected);
    assert!(explanation.rows[1].matched && explanation.rows[1].tests.is_empty());
}

#[test]
fn rows_that_never_match_are_warned_about() {
    let text =
        b"class \"a\" if lba == 1;\nclass \"b\" if lba ==  1;\nclass \"c\" otherwise;\nclass \"d\" if fua;\n";
    let rules = Rules::compile(text).unwrap();
    let warnings: Vec<&str> = rules.warnings().0.iter().map(|w| w.message.as_str()).collect();
    assert_eq!(warnings.len(), 2, "{warnings:?}");
    assert!(warnings[0].contains("the same condition") && warnings[1].contains("matches all requests"));
}

#[test]
fn example_files_compile_without_warnings() {
    for (text, op, bytes, class) in [
        (include_str!("../../../examples/rules/home-care.rules"), "write", 4096, "visit-note"),
        (include_str!("../../../examples/rules/home-care.rules"), "read", 1 << 20, "region-export"),
        (include_str!("../../../examples/rules/vehicle-sharing.rules"), "read", 4096, "trip-read"),
        (include_str!("../../../examples/rules/build-farm.rules"), "read", 1 << 20, "cache-read"),
    ] {
        let rules = Rules::compile(text.as_bytes())
            .unwrap_or_else(|e| panic!("{}", e.render("example", text.as_bytes(), Severity::Error)));
        assert!(rules.warnings().0.is_empty());
        assert_eq!(rules.class(&Fields { op, bytes, ..Fields::default() }), Some(class));
    }
}
