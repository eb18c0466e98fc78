//! Precedence of layers, origins of values, includes, overrides, and errors.

use pearfork_layers::{Key, LayerError, Layers, Origin, Overrides};
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// In the table `match`, setting `rules` in a later layer removes `file`, and the other way round.
const EXCLUSIVE: &[[&str; 3]] = &[["match", "rules", "file"]];

fn load(
    files: &[(&str, &str)],
    environment: &[(&str, &str)],
    flags: &[&str],
) -> Result<Layers, Vec<LayerError>> {
    let all: BTreeMap<&str, &str> = files.iter().copied().collect();
    let read = |path: &str| all.get(path).map(|t| (*t).to_owned()).ok_or("no such file".to_owned());
    let environment = environment.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    let overrides = Overrides::new(environment, flags.iter().map(|f| (*f).to_owned()).collect());
    Layers::load(files[0].0, files[0].1, &read, &overrides, EXCLUSIVE)
}

/// Origin and value of each layer that sets a key, in ascending precedence.
fn values_of(layers: &Layers, key: &str) -> Vec<(String, String)> {
    let values = layers.values(&key.parse::<Key>().unwrap());
    values.iter().map(|v| (v.origin.to_string(), v.value.to_string())).collect()
}

/// The messages of all errors, one per line.
fn error_text(files: &[(&str, &str)], environment: &[(&str, &str)], flags: &[&str]) -> String {
    let errors = load(files, environment, flags).expect_err("an error");
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

const BASE: &str = "[rules]\ngrace = \"3s\"\nbudget = { free = 3, span = \"5s\" }\n[[class]]\nname = \"a\"\naim = \"1s\"\n[[class]]\nname = \"b\"\naim = \"2s\"\n";
const HOST: &str = "include = [\"base.toml\"]\n[rules]\ngrace = \"2s\"\n[[class]]\nname = \"b\"\nworth = 2\n[[class]]\nname = \"c\"\naim = \"9s\"\n";

#[test]
fn later_layers_override_earlier_ones_and_origins_are_recorded() {
    let layers = load(
        &[("host.toml", HOST), ("base.toml", BASE)],
        &[("PEARFORK__RULES__BUDGET__FREE", "5"), ("PEARFORK__CLASS__A__AIM", "700ms")],
        &["class.a.aim=600ms", "class.c.shards=[1, 2]"],
    )
    .unwrap();
    assert!(!layers.is_single_file());
    let expected: toml::Table = toml::from_str(
        "[rules]\ngrace = \"2s\"\nbudget = { free = 5, span = \"5s\" }\n[[class]]\nname = \"a\"\naim = \"600ms\"\n\
         [[class]]\nname = \"b\"\naim = \"2s\"\nworth = 2\n[[class]]\nname = \"c\"\naim = \"9s\"\nshards = [1, 2]\n",
    )
    .unwrap();
    assert_eq!(layers.merged, expected);
    let owned = |pairs: &[(&str, &str)]| -> Vec<(String, String)> {
        pairs.iter().map(|(a, b)| ((*a).to_owned(), (*b).to_owned())).collect()
    };
    assert_eq!(
        values_of(&layers, "rules.grace"),
        owned(&[("base.toml line 2", "\"3s\""), ("host.toml line 3", "\"2s\"")])
    );
    assert_eq!(
        values_of(&layers, "class.a.aim"),
        owned(&[
            ("base.toml line 6", "\"1s\""),
            ("variable PEARFORK__CLASS__A__AIM", "\"700ms\""),
            ("--set class.a.aim=600ms", "\"600ms\"")
        ])
    );
    assert_eq!(values_of(&layers, "class.b.worth"), owned(&[("host.toml line 6", "2")]));
    // A value that no layer sets has the origin of its table.
    let origin = |key: &str| layers.origin(&key.parse().unwrap()).map(ToString::to_string);
    assert_eq!(origin("class.c.deadline").as_deref(), Some("host.toml line 7"));
    assert_eq!(origin("rules.budget.ratio").as_deref(), Some("base.toml line 3"));
    assert_eq!(origin("nowhere.at.all"), None);
}

#[test]
fn duplicate_names_within_one_file_are_both_kept() {
    // If the two entries were merged, the file would be accepted with a class that its author never wrote.
    let duplicate =
        "include = [\"base.toml\"]\n[[class]]\nname = \"a\"\nworth = 1\n[[class]]\nname = \"a\"\nworth = 2\n";
    let layers = load(&[("host.toml", duplicate), ("base.toml", BASE)], &[], &[]).unwrap();
    let names: Vec<&str> =
        layers.merged["class"].as_array().unwrap().iter().map(|c| c["name"].as_str().unwrap()).collect();
    assert_eq!(names, ["a", "b", "a"]);
    let single =
        load(&[("host.toml", "[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"\n")], &[], &[]).unwrap();
    assert_eq!(single.merged["class"].as_array().unwrap().len(), 2);
    assert!(single.is_single_file());
}

#[test]
fn the_later_of_two_exclusive_keys_wins() {
    let files = [
        ("host.toml", "include = [\"base.toml\"]\n[match]\nfile = \"x\"\n"),
        ("base.toml", "[match]\nrules = \"r\"\n"),
    ];
    let keys = |l: &Layers| l.merged["match"].as_table().unwrap().keys().cloned().collect::<Vec<_>>();
    assert_eq!(keys(&load(&files, &[], &[]).unwrap()), ["file"]);
    assert_eq!(keys(&load(&files, &[], &["match.rules=s"]).unwrap()), ["rules"]);
    let both = [("host.toml", "[match]\nfile = \"x\"\nrules = \"r\"\n")];
    assert_eq!(keys(&load(&both, &[], &[]).unwrap()), ["file", "rules"]);
}

#[test]
fn includes_are_relative_to_the_including_file_and_read_once() {
    let read_paths = RefCell::new(Vec::new());
    let text = |path: &str| match path {
        "site/a.toml" => "include = [\"../common.toml\", \"./b.toml\"]\nx = 1\n",
        "common.toml" => "x = 2\ny = 2\n",
        "site/b.toml" => "y = 3\n",
        _ => "",
    };
    let reader = |path: &str| {
        read_paths.borrow_mut().push(path.to_owned());
        Ok(text(path).to_owned())
    };
    let layers =
        Layers::load("host.toml", "include = [\"site/a.toml\"]\n", &reader, &Overrides::default(), &[])
            .unwrap();
    assert_eq!((layers.merged["x"].as_integer(), layers.merged["y"].as_integer()), (Some(1), Some(3)));
    assert_eq!(*read_paths.borrow(), ["site/a.toml", "common.toml", "site/b.toml"]);
}

#[test]
fn errors_name_their_origin() {
    let file_errors = |text: &'static str| {
        error_text(
            &[
                ("host.toml", text),
                ("a.toml", "include = [\"b.toml\"]\n"),
                ("b.toml", "include = [\"a.toml\"]\n"),
            ],
            &[],
            &[],
        )
    };
    assert!(
        file_errors("x = \n").contains("host.toml: TOML parse error at line 1"),
        "{}",
        file_errors("x = \n")
    );
    assert!(file_errors("include = \"a.toml\"\n").contains("must be a list of files"));
    assert!(file_errors("include = [\"a.toml\"]\n").contains("`a.toml` includes itself"));
    assert!(file_errors("include = [\"host.toml\"]\n").contains("`host.toml` includes itself"));
    assert!(file_errors("include = [\"nowhere.toml\"]\n")
        .contains("nowhere.toml, included by host.toml: no such file"));
    let flag = |flag: &str| error_text(&[("host.toml", BASE)], &[], &[flag]);
    assert!(flag("rules.grace").contains("--set rules.grace: has no `=`"));
    assert!(flag("ru les=1").contains("names no value"));
    assert!(flag("class.z.aim=1s").contains("there is no class `z`; there are a, b"));
    assert!(flag("class=1").contains("`class` has entries"));
    assert!(flag("rules.grace.more=1").contains("`rules.grace` is a value"));
    let variable = |name: &str| error_text(&[("host.toml", BASE)], &[(name, "1")], &[]);
    assert!(variable("PEARFORK__CLASS__Z__AIM")
        .starts_with("variable PEARFORK__CLASS__Z__AIM: there is no class"));
    // All errors are reported, not just the first.
    let both = error_text(&[("host.toml", BASE)], &[], &["a", "class.z.aim=1"]);
    assert_eq!(both.lines().count(), 2, "{both}");
}

#[test]
fn exponentially_growing_includes_are_bounded() {
    // Each file includes two others, which would be 2^40 reads without a limit.
    let reads = RefCell::new(0);
    let read = |path: &str| {
        *reads.borrow_mut() += 1;
        let n: usize = path.trim_start_matches('f').trim_end_matches(".toml").parse().unwrap_or(0);
        Ok(format!("include = [\"f{}.toml\", \"f{}.toml\"]\n", 2 * n + 1, 2 * n + 2))
    };
    let errors = Layers::load("host.toml", "include = [\"f0.toml\"]\n", &read, &Overrides::default(), &[])
        .expect_err("an error");
    assert!(*reads.borrow() < 5_000, "{} reads", reads.borrow());
    assert!(errors.iter().any(|e| e.to_string().contains("deep")), "{errors:?}");
}

#[test]
fn variables_match_names_with_characters_that_variables_cannot_hold() {
    let text = "[[volume]]\nname = \"visit-notes.2\"\nsize = \"1GiB\"\n";
    let layers =
        load(&[("host.toml", text)], &[("PEARFORK__VOLUME__VISIT_NOTES_2__SIZE", "2GiB")], &[]).unwrap();
    assert_eq!(layers.merged["volume"][0]["size"].as_str(), Some("2GiB"));
    let origin = Origin::Variable("PEARFORK__VOLUME__VISIT_NOTES_2__SIZE".to_owned());
    assert_eq!(layers.origin(&Key::of(&["volume", "visit-notes.2", "size"])), Some(&origin));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn reported_values_equal_the_merged_table_for_arbitrary_input(
        main in "[a-c\\[\\]=\"\\n .1{}]{0,40}",
        base in "[a-c\\[\\]=\"\\n .1{}]{0,40}",
        flag in "[a-c.=\"1\\[\\]]{0,12}",
        variable in "P__[A-C_]{0,12}",
    ) {
        let main = format!("include = [\"b\"]\n{main}");
        if let Ok(layers) = load(&[("m", &main), ("b", &base)], &[(&variable, &flag)], &[&flag]) {
            // The last recorded setting of each key is the value in the merged table.
            for (key, values) in layers.entries() {
                let mut merged = Some(&toml::Value::Table(layers.merged.clone())).cloned();
                for part in key.parts() {
                    merged = merged.and_then(|v| match v {
                        toml::Value::Table(t) => t.get(part).cloned(),
                        toml::Value::Array(a) => a.iter().find(|e| e.get("name").and_then(|n| n.as_str()) == Some(part)).cloned(),
                        _ => None,
                    });
                }
                prop_assert_eq!(merged.as_ref(), values.last().map(|v| &v.value), "{}", key);
            }
        }
    }
}
