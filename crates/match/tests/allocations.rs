//! Evaluation allocates nothing, as measured by a counting allocator.

use pearfork_match::{Fields, Rules};

#[test]
fn class_plan_and_key_of_a_request_allocate_nothing() {
    let mut text =
        "let run = lba / 2048;\nlet far = run > 100 and not starts_with(volume, \"a\");\n".to_owned();
    for i in 0..200 {
        text += &format!("class \"c{i}\" if volume == \"v{i}\" and lba >= {i} and lba < {};\n", i + 50);
        text += &format!(
            "class \"p{i}\" if starts_with(initiator, \"iqn.{i}.\") and (far or glob(target, \"*:x*\"));\n"
        );
    }
    text += "class \"rest\" otherwise;\nplan \"night\" if time < 6h or contains(volume, \"7\");\n";
    text += "key = hash(volume, run, fua, lba % 7, if fua then 1 else 2);\n";
    let rules = Rules::compile(text.as_bytes()).unwrap();
    let mut found = 0;
    for (volume, initiator, lba, fua) in
        [("v17", "iqn.3.x", 20, true), ("v199", "", 1 << 40, false), ("none", "iqn.199.y", 0, true)]
    {
        let fields = Fields { op: "read", volume, initiator, lba, fua, ..Fields::default() };
        let allocations = allocation_counter::measure(|| {
            found += usize::from(rules.class_index(&fields).is_some());
            found += usize::from(rules.plan(&fields).is_some());
            found += usize::from(rules.key(&fields).is_some());
        });
        assert_eq!(allocations.count_total, 0, "{volume}");
    }
    assert!(found >= 6);
    assert!(
        allocation_counter::measure(|| drop(vec![found])).count_total > 0,
        "the counter must detect allocations"
    );
}
