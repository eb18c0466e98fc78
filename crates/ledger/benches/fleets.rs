//! Measures simulated fleets: how fast budgets follow the load, the number of messages, and the unused
//! fraction. Prints a table, and writes a plot to the folder that `PLOTS` names, if it is set. Run it with
//! `cargo bench -p pearfork-ledger --bench fleets`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use plotters::prelude::*;
use sim::{archive_budget, LinkModel, SimFleet, RELIABLE};

/// A share from which on a host counts as having the whole budget. The reserve and suppressed small changes
/// stay unused.
const NEARLY_ALL: f64 = 0.92;

struct Figures {
    hosts: usize,
    loss_rate: f64,
    /// Time from the move of a load until its new host has nearly the whole budget, in milliseconds: median
    /// and maximum of ten moves.
    move_ms: (f64, f64),
    /// Time from the failure of half of the hosts, the leader among them, until the others have nearly the
    /// whole budget, in milliseconds.
    recovery_ms: f64,
    /// Messages and bytes per host and second, including responses and the traffic between voters.
    messages: f64,
    bytes: f64,
    /// Mean fraction of the lendable budget that no host holds while all hosts have demand.
    unused: f64,
}

fn run_until(fleet: &mut SimFleet, timeout_ms: f64, condition: impl Fn(&SimFleet) -> bool) -> f64 {
    let began = fleet.now;
    while !condition(fleet) && fleet.now - began < timeout_ms {
        fleet.run(10.0);
    }
    fleet.now - began
}

fn measure(hosts: usize, loss_rate: f64) -> Figures {
    let mut fleet = SimFleet::new(41, hosts, if hosts < 5 { 3 } else { 5 });
    fleet.links = LinkModel { loss_rate, ..RELIABLE };
    fleet.check_every = (hosts as u64 / 8).max(1);
    let ids: Vec<u64> = (0..hosts).map(|h| fleet.start_host(h)).collect();
    // The minimum fraction is well below an equal share, so that the hosts need not take turns.
    fleet.processes.values_mut().for_each(|p| p.min_fraction = 0.2 / hosts as f64);
    fleet.run(4_000.0);
    let mut moves: Vec<f64> = (0..10)
        .map(|turn| {
            let (from, to) = (ids[(turn * 7) % hosts], ids[(turn * 7 + 7) % hosts]);
            fleet.set_demand(from, &archive_budget(), 0.0);
            fleet.set_demand(to, &archive_budget(), 1.5);
            run_until(&mut fleet, 20_000.0, |fleet| fleet.usable(to, &archive_budget()).as_f64() > NEARLY_ALL)
        })
        .collect();
    moves.sort_by(f64::total_cmp);
    // All hosts have equal demand, which adds up to one and a half times the budget.
    ids.iter().for_each(|id| fleet.set_demand(*id, &archive_budget(), 1.5 / hosts as f64));
    fleet.run(4_000.0);
    let (messages, span) = (fleet.messages, 5_000.0);
    fleet.bytes = Some(0);
    let mut unused = 0.0;
    for _ in 0..50 {
        fleet.run(span / 50.0);
        unused += (1.0 - fleet.total_usable(&archive_budget()).as_f64() / fleet.lendable.as_f64()) / 50.0;
    }
    let per_host_second = |n: u64| n as f64 / hosts as f64 / (span / 1_000.0);
    let (messages, bytes) =
        (per_host_second(fleet.messages - messages), per_host_second(fleet.bytes.take().unwrap_or(0)));
    let leader = fleet.leader().unwrap_or(0);
    let mut failed: Vec<usize> = (0..hosts).filter(|h| *h >= fleet.voters()).take(hosts / 2).collect();
    failed.push(leader);
    fleet.kill_voter(leader);
    failed.iter().for_each(|h| fleet.kill_host(ids[*h]));
    let recovery_ms =
        run_until(&mut fleet, 30_000.0, |fleet| fleet.total_usable(&archive_budget()).as_f64() > NEARLY_ALL);
    Figures { hosts, loss_rate, move_ms: (moves[5], moves[9]), recovery_ms, messages, bytes, unused }
}

fn plot(folder: &str, figures: &[Figures]) -> Result<(), Box<dyn std::error::Error>> {
    let path = format!("{folder}/budgets.svg");
    let root = SVGBackend::new(&path, (720, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    let top = figures.iter().map(|f| f.recovery_ms).fold(0.0, f64::max) / 1_000.0 * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption("seconds until the budget is where the demand is", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(40)
        .build_cartesian_2d((3f64..1_600f64).log_scale(), 0f64..top)?;
    chart.configure_mesh().x_desc("hosts").y_desc("s").draw()?;
    for (loss_rate, color) in [(0.0, &BLUE), (0.05, &RED)] {
        let of = || figures.iter().filter(move |f| f.loss_rate == loss_rate);
        let loss_label = if loss_rate > 0.0 { "5 % of messages lost" } else { "no loss" };
        chart
            .draw_series(LineSeries::new(of().map(|f| (f.hosts as f64, f.recovery_ms / 1_000.0)), color))?
            .label(format!("half of the hosts failed, {loss_label}"))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        chart
            .draw_series(of().map(|f| Circle::new((f.hosts as f64, f.move_ms.1 / 1_000.0), 4, color)))?
            .label(format!("a load moved, maximum of ten, {loss_label}"))
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn main() {
    println!("| hosts | loss | move ms, median, maximum | half failed, ms | messages per host and second | bytes | unused |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut all = Vec::new();
    for loss_rate in [0.0, 0.05] {
        for hosts in [3, 8, 40, 150, 350, 1_000, 1_500] {
            let f = measure(hosts, loss_rate);
            println!(
                "| {} | {:.0} % | {:.0}, {:.0} | {:.0} | {:.1} | {:.0} | {:.1} % |",
                f.hosts,
                f.loss_rate * 100.0,
                f.move_ms.0,
                f.move_ms.1,
                f.recovery_ms,
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
