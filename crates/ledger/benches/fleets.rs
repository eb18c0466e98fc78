//! Figures of drawn fleets: how soon parts find their way, what that costs in messages, what lies unused. Prints a table, and
//! writes plots where `PLOTS` names a folder. `cargo bench -p pearfork-ledger --bench fleets`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use plotters::prelude::*;
use sim::{archive, Net, World, GOOD};

/// What counts as all there is: the reserve, and what is not worth a change, stay behind.
const NEARLY_ALL: f64 = 0.92;

struct Figures {
    hosts: usize,
    lost: f64,
    /// From a load's move until its new host has nearly all, milliseconds: middle and longest of ten.
    moved: (f64, f64),
    /// From the death of half of the hosts, the leader among them, until the others have nearly all again.
    halved: f64,
    /// Messages and bytes a host a second, its answers and its part in the voters' talk included.
    messages: f64,
    bytes: f64,
    /// Fraction of what there is to lend that nobody has, in the mean, while all hosts ask.
    unused: f64,
}

fn until(w: &mut World, most: f64, holds: impl Fn(&World) -> bool) -> f64 {
    let began = w.now;
    while !holds(w) && w.now - began < most {
        w.run(10.0);
    }
    w.now - began
}

fn play(hosts: usize, lost: f64) -> Figures {
    let mut w = World::new(41, hosts, if hosts < 5 { 3 } else { 5 });
    w.net = Net { lost, ..GOOD };
    w.check_every = (hosts as u64 / 8).max(1);
    let ids: Vec<u64> = (0..hosts).map(|h| w.start_host(h)).collect();
    // What is of use to each is a part of an even one: turns are another matter.
    w.processes.values_mut().for_each(|p| p.least = 0.2 / hosts as f64);
    w.run(4_000.0);
    let mut moves: Vec<f64> = (0..10)
        .map(|turn| {
            let (from, to) = (ids[(turn * 7) % hosts], ids[(turn * 7 + 7) % hosts]);
            w.want(from, &archive(), 0.0);
            w.want(to, &archive(), 1.5);
            until(&mut w, 20_000.0, |w| w.usable(to, &archive()).as_f64() > NEARLY_ALL)
        })
        .collect();
    moves.sort_by(f64::total_cmp);
    // All ask, each for an even part of a whole that is asked for once and a half.
    ids.iter().for_each(|id| w.want(*id, &archive(), 1.5 / hosts as f64));
    w.run(4_000.0);
    let (messages, span) = (w.messages, 5_000.0);
    w.bytes = Some(0);
    let mut unused = 0.0;
    for _ in 0..50 {
        w.run(span / 50.0);
        unused += (1.0 - w.usable_in_all(&archive()).as_f64() / w.lendable.as_f64()) / 50.0;
    }
    let each = |n: u64| n as f64 / hosts as f64 / (span / 1_000.0);
    let (messages, bytes) = (each(w.messages - messages), each(w.bytes.take().unwrap_or(0)));
    let leader = w.leader().unwrap_or(0);
    let mut dead: Vec<usize> = (0..hosts).filter(|h| *h >= w.voters()).take(hosts / 2).collect();
    dead.push(leader);
    w.kill_voter(leader);
    dead.iter().for_each(|h| w.kill_host(ids[*h]));
    let halved = until(&mut w, 30_000.0, |w| w.usable_in_all(&archive()).as_f64() > NEARLY_ALL);
    Figures { hosts, lost, moved: (moves[5], moves[9]), halved, messages, bytes, unused }
}

fn plot(folder: &str, figures: &[Figures]) -> Result<(), Box<dyn std::error::Error>> {
    let path = format!("{folder}/budgets.svg");
    let root = SVGBackend::new(&path, (720, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    let top = figures.iter().map(|f| f.halved).fold(0.0, f64::max) / 1_000.0 * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption("seconds until parts are where they are asked for", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(40)
        .build_cartesian_2d((3f64..1_600f64).log_scale(), 0f64..top)?;
    chart.configure_mesh().x_desc("hosts").y_desc("s").draw()?;
    for (lost, color) in [(0.0, &BLUE), (0.05, &RED)] {
        let of = || figures.iter().filter(move |f| f.lost == lost);
        let words = if lost > 0.0 { "5 % of messages lost" } else { "no loss" };
        chart
            .draw_series(LineSeries::new(of().map(|f| (f.hosts as f64, f.halved / 1_000.0)), color))?
            .label(format!("half of the hosts died, {words}"))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        chart
            .draw_series(of().map(|f| Circle::new((f.hosts as f64, f.moved.1 / 1_000.0), 4, color)))?
            .label(format!("a load moved, the longest of ten, {words}"))
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn main() {
    println!("| hosts | lost | moved ms, middle, longest | half died, ms | messages a host a second | bytes | unused |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut all = Vec::new();
    for lost in [0.0, 0.05] {
        for hosts in [3, 8, 40, 150, 350, 1_000, 1_500] {
            let f = play(hosts, lost);
            println!(
                "| {} | {:.0} % | {:.0}, {:.0} | {:.0} | {:.1} | {:.0} | {:.1} % |",
                f.hosts,
                f.lost * 100.0,
                f.moved.0,
                f.moved.1,
                f.halved,
                f.messages,
                f.bytes,
                f.unused * 100.0
            );
            all.push(f);
        }
    }
    if let Ok(folder) = std::env::var("PLOTS") {
        plot(&folder, &all).unwrap_or_else(|e| panic!("{folder}: {e}"));
    }
}
