//! Layers over layers: what counts, where it came from, and what is refused.

use pearfork_layers::{Key, LayerError, Layers, Origin, Overrides};
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::BTreeMap;

const EXCLUSIVE: &[[&str; 3]] = &[["match", "rules", "file"]];

fn gather(
    files: &[(&str, &str)],
    environment: &[(&str, &str)],
    flags: &[&str],
) -> Result<Layers, Vec<LayerError>> {
    let all: BTreeMap<&str, &str> = files.iter().copied().collect();
    let read = |path: &str| all.get(path).map(|t| (*t).to_owned()).ok_or("no such file".to_owned());
    let environment = environment.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    let over = Overrides::new(environment, flags.iter().map(|f| (*f).to_owned()).collect());
    Layers::load(files[0].0, files[0].1, &read, &over, EXCLUSIVE)
}

fn at(layers: &Layers, key: &str) -> Vec<(String, String)> {
    let given = layers.values(&key.parse::<Key>().unwrap());
    given.iter().map(|g| (g.origin.to_string(), g.value.to_string())).collect()
}

fn told(files: &[(&str, &str)], environment: &[(&str, &str)], flags: &[&str]) -> String {
    let faults = gather(files, environment, flags).expect_err("a fault");
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

const BASE: &str = "[rules]\ngrace = \"3s\"\nbudget = { free = 3, span = \"5s\" }\n[[class]]\nname = \"a\"\naim = \"1s\"\n[[class]]\nname = \"b\"\naim = \"2s\"\n";
const HOST: &str = "include = [\"base.toml\"]\n[rules]\ngrace = \"2s\"\n[[class]]\nname = \"b\"\nworth = 2\n[[class]]\nname = \"c\"\naim = \"9s\"\n";

#[test]
fn later_layers_hide_earlier_ones_and_each_value_knows_where_it_came_from() {
    let layers = gather(
        &[("host.toml", HOST), ("base.toml", BASE)],
        &[("PEARFORK__RULES__BUDGET__FREE", "5"), ("PEARFORK__CLASS__A__AIM", "700ms")],
        &["class.a.aim=600ms", "class.c.shards=[1, 2]"],
    )
    .unwrap();
    assert!(!layers.is_single_file());
    let want: toml::Table = toml::from_str(
        "[rules]\ngrace = \"2s\"\nbudget = { free = 5, span = \"5s\" }\n[[class]]\nname = \"a\"\naim = \"600ms\"\n\
         [[class]]\nname = \"b\"\naim = \"2s\"\nworth = 2\n[[class]]\nname = \"c\"\naim = \"9s\"\nshards = [1, 2]\n",
    )
    .unwrap();
    assert_eq!(layers.merged, want);
    let own = |pairs: &[(&str, &str)]| -> Vec<(String, String)> {
        pairs.iter().map(|(a, b)| ((*a).to_owned(), (*b).to_owned())).collect()
    };
    assert_eq!(
        at(&layers, "rules.grace"),
        own(&[("base.toml line 2", "\"3s\""), ("host.toml line 3", "\"2s\"")])
    );
    assert_eq!(
        at(&layers, "class.a.aim"),
        own(&[
            ("base.toml line 6", "\"1s\""),
            ("variable PEARFORK__CLASS__A__AIM", "\"700ms\""),
            ("--set class.a.aim=600ms", "\"600ms\"")
        ])
    );
    assert_eq!(at(&layers, "class.b.worth"), own(&[("host.toml line 6", "2")]));
    // What is not given stands where its table does.
    let place = |key: &str| layers.origin(&key.parse().unwrap()).map(ToString::to_string);
    assert_eq!(place("class.c.deadline").as_deref(), Some("host.toml line 7"));
    assert_eq!(place("rules.budget.ratio").as_deref(), Some("base.toml line 3"));
    assert_eq!(place("nowhere.at.all"), None);
}

#[test]
fn two_of_one_name_in_a_file_both_stay_to_be_refused() {
    // Danger: merged into one, the file would be taken with a class that its writer never wrote.
    let twice =
        "include = [\"base.toml\"]\n[[class]]\nname = \"a\"\nworth = 1\n[[class]]\nname = \"a\"\nworth = 2\n";
    let layers = gather(&[("host.toml", twice), ("base.toml", BASE)], &[], &[]).unwrap();
    let names: Vec<&str> =
        layers.merged["class"].as_array().unwrap().iter().map(|c| c["name"].as_str().unwrap()).collect();
    assert_eq!(names, ["a", "b", "a"]);
    let alone =
        gather(&[("host.toml", "[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"\n")], &[], &[]).unwrap();
    assert_eq!(alone.merged["class"].as_array().unwrap().len(), 2);
    assert!(alone.is_single_file());
}

#[test]
fn of_two_ways_to_say_one_thing_the_later_counts() {
    let files = [
        ("host.toml", "include = [\"base.toml\"]\n[match]\nfile = \"x\"\n"),
        ("base.toml", "[match]\nrules = \"r\"\n"),
    ];
    let keys = |l: &Layers| l.merged["match"].as_table().unwrap().keys().cloned().collect::<Vec<_>>();
    assert_eq!(keys(&gather(&files, &[], &[]).unwrap()), ["file"]);
    assert_eq!(keys(&gather(&files, &[], &["match.rules=s"]).unwrap()), ["rules"]);
    let both = [("host.toml", "[match]\nfile = \"x\"\nrules = \"r\"\n")];
    assert_eq!(keys(&gather(&both, &[], &[]).unwrap()), ["file", "rules"]);
}

#[test]
fn includes_are_found_beside_their_file_and_each_is_read_once() {
    let read = RefCell::new(Vec::new());
    let text = |path: &str| match path {
        "site/a.toml" => "include = [\"../common.toml\", \"./b.toml\"]\nx = 1\n",
        "common.toml" => "x = 2\ny = 2\n",
        "site/b.toml" => "y = 3\n",
        _ => "",
    };
    let reader = |path: &str| {
        read.borrow_mut().push(path.to_owned());
        Ok(text(path).to_owned())
    };
    let layers =
        Layers::load("host.toml", "include = [\"site/a.toml\"]\n", &reader, &Overrides::default(), &[])
            .unwrap();
    assert_eq!((layers.merged["x"].as_integer(), layers.merged["y"].as_integer()), (Some(1), Some(3)));
    assert_eq!(*read.borrow(), ["site/a.toml", "common.toml", "site/b.toml"]);
}

#[test]
fn what_can_not_be_taken_is_told_with_its_place() {
    let own = |text: &'static str| {
        told(
            &[
                ("host.toml", text),
                ("a.toml", "include = [\"b.toml\"]\n"),
                ("b.toml", "include = [\"a.toml\"]\n"),
            ],
            &[],
            &[],
        )
    };
    assert!(own("x = \n").contains("host.toml: TOML parse error at line 1"), "{}", own("x = \n"));
    assert!(own("include = \"a.toml\"\n").contains("must be a list of files"));
    assert!(own("include = [\"a.toml\"]\n").contains("`a.toml` includes itself"));
    assert!(own("include = [\"host.toml\"]\n").contains("`host.toml` includes itself"));
    assert!(
        own("include = [\"nowhere.toml\"]\n").contains("nowhere.toml, included by host.toml: no such file")
    );
    let flag = |flag: &str| told(&[("host.toml", BASE)], &[], &[flag]);
    assert!(flag("rules.grace").contains("--set rules.grace: has no `=`"));
    assert!(flag("ru les=1").contains("names no value"));
    assert!(flag("class.z.aim=1s").contains("there is no class `z`; there are a, b"));
    assert!(flag("class=1").contains("`class` has entries"));
    assert!(flag("rules.grace.more=1").contains("`rules.grace` is a value"));
    let variable = |name: &str| told(&[("host.toml", BASE)], &[(name, "1")], &[]);
    assert!(variable("PEARFORK__CLASS__Z__AIM")
        .starts_with("variable PEARFORK__CLASS__Z__AIM: there is no class"));
    // All of them are told.
    let both = told(&[("host.toml", BASE)], &[], &["a", "class.z.aim=1"]);
    assert_eq!(both.lines().count(), 2, "{both}");
}

#[test]
fn includes_that_multiply_end_soon() {
    // Each file includes the next two ways: 2^40 readings if nobody counted.
    let asked = RefCell::new(0);
    let read = |path: &str| {
        *asked.borrow_mut() += 1;
        let n: usize = path.trim_start_matches('f').trim_end_matches(".toml").parse().unwrap_or(0);
        Ok(format!("include = [\"f{}.toml\", \"f{}.toml\"]\n", 2 * n + 1, 2 * n + 2))
    };
    let faults = Layers::load("host.toml", "include = [\"f0.toml\"]\n", &read, &Overrides::default(), &[])
        .expect_err("a fault");
    assert!(*asked.borrow() < 5_000, "{} readings", asked.borrow());
    assert!(faults.iter().any(|f| f.to_string().contains("deep")), "{faults:?}");
}

#[test]
fn a_variable_finds_names_that_variables_can_not_hold() {
    let text = "[[volume]]\nname = \"visit-notes.2\"\nsize = \"1GiB\"\n";
    let layers =
        gather(&[("host.toml", text)], &[("PEARFORK__VOLUME__VISIT_NOTES_2__SIZE", "2GiB")], &[]).unwrap();
    assert_eq!(layers.merged["volume"][0]["size"].as_str(), Some("2GiB"));
    let origin = Origin::Variable("PEARFORK__VOLUME__VISIT_NOTES_2__SIZE".to_owned());
    assert_eq!(layers.origin(&Key::of(&["volume", "visit-notes.2", "size"])), Some(&origin));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_given_it_ends_in_a_table_or_in_words(
        main in "[a-c\\[\\]=\"\\n .1{}]{0,40}",
        base in "[a-c\\[\\]=\"\\n .1{}]{0,40}",
        flag in "[a-c.=\"1\\[\\]]{0,12}",
        variable in "P__[A-C_]{0,12}",
    ) {
        let main = format!("include = [\"b\"]\n{main}");
        if let Ok(layers) = gather(&[("m", &main), ("b", &base)], &[(&variable, &flag)], &[&flag]) {
            // Every value that is told counts, and is told with the value that it has.
            for (key, given) in layers.entries() {
                let mut at = Some(&toml::Value::Table(layers.merged.clone())).cloned();
                for part in key.parts() {
                    at = at.and_then(|v| match v {
                        toml::Value::Table(t) => t.get(part).cloned(),
                        toml::Value::Array(a) => a.iter().find(|e| e.get("name").and_then(|n| n.as_str()) == Some(part)).cloned(),
                        _ => None,
                    });
                }
                prop_assert_eq!(at.as_ref(), given.last().map(|g| &g.value), "{}", key);
            }
        }
    }
}
