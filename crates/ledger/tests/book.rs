//! The second lines of defence: what no order of events reaches while the first ones hold.

use pearfork_ledger::{Ask, Book, Budget, Change, HostNumber, Incarnation, Kind, Lender, Part, Times, Want};

fn archive() -> Budget {
    Budget::new(Kind::Limit, "archive")
}

fn lend(to: u64, part: f64, after: u64) -> Change {
    Change::Lend { to: Incarnation(to), budget: archive(), part: Part::of(part), after }
}

fn two_joined() -> Book {
    let mut book = Book::new(Part::of(0.9));
    for n in 0..2 {
        assert!(book.apply(&Change::Join { host: HostNumber(n), nonce: u64::from(n) + 7 }));
    }
    book
}

#[test]
fn a_change_that_was_overtaken_changes_nothing_and_no_change_lends_too_much() {
    let mut book = two_joined();
    assert!(book.apply(&lend(1, 0.5, 0)));
    let first = book.held(Incarnation(1), &archive());
    assert!(book.apply(&lend(1, 0.6, first.at)));
    // Thought out when it held 0.5: a word of the holder that it needs no more than 0.1 of that.
    assert!(!book.apply(&lend(1, 0.1, first.at)));
    assert!(!book.apply(&lend(1, 0.1, 0)));
    assert_eq!(book.held(Incarnation(1), &archive()).part, Part::of(0.6));
    assert!(!book.apply(&lend(2, 0.4, 0)), "0.6 and 0.4 of 0.9");
    assert!(book.apply(&lend(2, 0.3, 0)));
    assert!(!book.apply(&lend(3, 0.01, 0)), "nobody has that number");
    assert!(!book.apply(&Change::Join { host: HostNumber(0), nonce: 7 }), "it joined already");
    assert!(book.apply(&Change::Forget { who: Incarnation(1) }));
    assert_eq!(book.lent(&archive()), Part::of(0.3));
    // Another process of that host is another incarnation, and begins with nothing.
    assert!(book.apply(&Change::Join { host: HostNumber(0), nonce: 9 }));
    assert_eq!(book.latest(HostNumber(0)), Some(Incarnation(3)));
}

#[test]
fn a_process_that_is_being_struck_out_gets_no_answer_and_an_old_ask_says_nothing() {
    let mut book = two_joined();
    book.apply(&lend(1, 0.5, 0));
    let times = Times::default();
    let mut lender = Lender::new(times, &book, 0.0);
    let ask = |seq, using: f64, at| Ask {
        host: HostNumber(0),
        nonce: 7,
        incarnation: Some(Incarnation(1)),
        seq,
        leaving: false,
        wants: vec![Want {
            budget: archive(),
            demand: Part::of(1.0),
            least: Part::of(0.01),
            turn_ms: 0,
            using: Part::of(using),
            at,
        }],
    };
    assert!(lender.ask(10.0, Incarnation(1), &ask(5, 0.5, 1)));
    assert!(!lender.ask(20.0, Incarnation(1), &ask(4, 0.0, 1)), "overtaken");
    assert!(lender.is_open(Incarnation(1)));
    // Its answer is still being confirmed when its lease runs out for the lender.
    let late = times.lent_ms() + 1.0;
    let changes = lender.settle(late, &book);
    assert!(changes.contains(&Change::Forget { who: Incarnation(1) }), "{changes:?}");
    assert!(!lender.is_open(Incarnation(1)));
    assert!(!lender.ask(late, Incarnation(1), &ask(6, 0.5, 1)));
}
