//! Prints the tables of a measurement and draws its plot.

use crate::measured::{power, Load, COLUMNS};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

/// The mean load of the processes of a role at one size.
#[derive(Debug, Clone)]
pub struct Row {
    pub role: &'static str,
    pub load: Load,
    /// The number of processes.
    pub processes: usize,
}

impl Row {
    pub fn mean(role: &'static str, loads: &[Load]) -> Row {
        Row {
            role,
            load: if loads.is_empty() { Load::default() } else { Load::mean(loads) },
            processes: loads.len(),
        }
    }
}

/// The measurements at one size.
#[derive(Debug, Clone, Default)]
pub struct Size {
    pub gateways: usize,
    pub backends: usize,
    pub items: usize,
    /// Loads with nothing but beats, polls and draws.
    pub calm: Vec<Row>,
    /// Loads while backends are replaced.
    pub churn: Vec<Row>,
    /// Times by name, in seconds; `None` if not all gateways were reached.
    pub times: Vec<(&'static str, Option<f64>)>,
    /// Memory by role after all core machines were killed and restarted, in MB.
    pub memory_after: Vec<(&'static str, f64)>,
    /// Failed calls of simulated gateways per second during the calm part.
    pub failed: f64,
}

impl Size {
    pub fn print(&self) {
        println!("\n{} gateways, {} backends, {} items", self.gateways, self.backends, self.items);
        for (phase, rows) in [("calm", &self.calm), ("backends are replaced", &self.churn)] {
            println!("\n| {phase} | {} |", COLUMNS.join(" | "));
            println!("| --- |{}", " --- |".repeat(COLUMNS.len()));
            for row in rows {
                let figures: Vec<String> =
                    row.load.figures().iter().map(|figure| format!("{figure:.1}")).collect();
                println!("| {} ({}) | {} |", row.role, row.processes, figures.join(" | "));
            }
        }
        let after: Vec<String> =
            self.memory_after.iter().map(|(role, memory)| format!("{role} {memory:.1}")).collect();
        println!("\nMB after the core came back: {}", after.join(", "));
    }
}

/// Prints the exponent by which each figure grows with size; backends and items grow in proportion to gateways.
pub fn print_growth(sizes: &[Size]) {
    if sizes.len() < 2 {
        return;
    }
    for (phase, rows) in [("calm", 0), ("backends are replaced", 1)] {
        println!("\n| power with size, {phase} | {} |", COLUMNS.join(" | "));
        println!("| --- |{}", " --- |".repeat(COLUMNS.len()));
        let mut points: BTreeMap<&str, Vec<(f64, [f64; 7])>> = BTreeMap::new();
        for size in sizes {
            for row in if rows == 0 { &size.calm } else { &size.churn } {
                points.entry(row.role).or_default().push((size.gateways as f64, row.load.figures()));
            }
        }
        for (role, points) in points {
            let column = |i: usize| -> Vec<(f64, f64)> { points.iter().map(|(x, y)| (*x, y[i])).collect() };
            let powers: Vec<String> = (0..COLUMNS.len())
                .map(|i| power(&column(i)).map_or("-".into(), |power| format!("{power:.2}")))
                .collect();
            println!("| {role} | {} |", powers.join(" | "));
        }
    }
    println!("\n| seconds, worst | {} | power |", cells(sizes, |size| format!("{} gateways", size.gateways)));
    println!("| --- |{} --- |", " --- |".repeat(sizes.len()));
    let names: Vec<&str> = sizes.iter().flat_map(|size| size.times.iter().map(|(name, _)| *name)).collect();
    let mut printed = Vec::new();
    for name in names {
        if printed.contains(&name) {
            continue;
        }
        printed.push(name);
        let time =
            |size: &Size| size.times.iter().find(|(known, _)| *known == name).and_then(|(_, took)| *took);
        let shown = cells(sizes, |size| time(size).map_or("not all".into(), |took| format!("{took:.3}")));
        let points: Vec<(f64, f64)> =
            sizes.iter().filter_map(|size| Some((size.gateways as f64, time(size)?))).collect();
        let power = power(&points).map_or("-".into(), |power| format!("{power:.2}"));
        println!("| {name} | {shown} | {power} |");
    }
}

/// Table cells, one for each size.
fn cells(sizes: &[Size], show: impl Fn(&Size) -> String) -> String {
    sizes.iter().map(show).collect::<Vec<_>>().join(" | ")
}

/// Draws memory, CPU time and bytes sent of each role by size, with logarithmic axes.
pub fn plot(sizes: &[Size], folder: &Path) -> Result<(), Box<dyn Error>> {
    let sizes: Vec<&Size> = sizes.iter().filter(|size| !size.calm.is_empty()).collect();
    let (Some(first), Some(last)) = (sizes.first(), sizes.last()) else {
        return Err("nothing to draw".into());
    };
    std::fs::create_dir_all(folder)?;
    let path = folder.join("scale.svg");
    let root = SVGBackend::new(&path, (1_200, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let columns = [0, 1, 3];
    let areas = root.split_evenly((1, columns.len()));
    let x_range = first.gateways as f64 * 0.8..last.gateways as f64 * 1.25;
    for (area, column) in areas.iter().zip(columns) {
        let figures =
            sizes.iter().flat_map(|size| size.calm.iter().map(move |row| row.load.figures()[column]));
        let (low, high) = figures
            .filter(|figure| *figure > 0.0)
            .fold((f64::MAX, 0.01), |(low, high): (f64, f64), figure| (low.min(figure), high.max(figure)));
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{} of one process, calm", COLUMNS[column]), ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(x_range.clone().log_scale(), (low.min(high) * 0.7..high * 1.6).log_scale())?;
        chart.configure_mesh().x_desc("gateways, with ten backends each").draw()?;
        for (i, color) in [RED, BLUE, GREEN, BLACK].iter().enumerate() {
            let point = |size: &&Size| {
                let row = size.calm.get(i)?;
                Some((size.gateways as f64, row.load.figures()[column])).filter(|(_, y)| *y > 0.0)
            };
            let line: Vec<(f64, f64)> = sizes.iter().filter_map(point).collect();
            let Some(row) = first.calm.get(i) else { continue };
            let color = *color;
            chart
                .draw_series(LineSeries::new(line.clone(), &color))?
                .label(row.role)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color));
            chart.draw_series(line.iter().map(|at| Circle::new(*at, 3, color.filled())))?;
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}
