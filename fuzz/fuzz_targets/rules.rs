//! Compiles arbitrary text as matching rules, renders and formats it, and evaluates a few requests within the
//! rules' bound of steps.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pearfork_match::{format, Fields, Rules, Severity};

fuzz_target!(|bytes: &[u8]| {
    let rules = match Rules::compile(bytes) {
        Ok(rules) => rules,
        Err(diagnostics) => {
            assert!(!diagnostics.render("a.rules", bytes, Severity::Error).is_empty());
            return;
        }
    };
    rules.warnings().render("a.rules", bytes, Severity::Warning);
    let formatted = format(bytes).expect("what compiles can be formatted again");
    assert_eq!(format(formatted.as_bytes()).as_deref(), Ok(formatted.as_str()));
    let again = Rules::compile(formatted.as_bytes()).expect("the same rules");
    assert_eq!(again.worst_steps(), rules.worst_steps());
    for (op, lba, volume, fua) in [("read", 0, "a", false), ("write", 4096, "rel-1", true), ("flush", u64::MAX, "", false)] {
        let fields = Fields { op, lba, volume, fua, bytes: lba / 2, blocks: lba / 3, ..Fields::default() };
        let class = rules.class_index(&fields);
        assert_eq!(class, rules.class_index_linear(&fields));
        assert!(rules.explain(&fields).steps <= rules.worst_steps());
        assert_eq!(rules.key(&fields), again.key(&fields));
        assert!(class.is_some());
    }
});
