//! Draws the overview on a terminal.

use crate::status::{EventLog, Overview};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style, Stylize};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Paragraph};
use ratatui::Frame;
use starlinghill_config_model::ItemKind;
use std::collections::{BTreeSet, HashMap};

/// A gateway that was not heard from for this long, in milliseconds, is drawn in red.
const GATEWAY_SILENT_MS: u64 = 2_000;
/// How many backend ids one line lists at most.
const MAX_LISTED_IDS: usize = 6;

fn panel<'a>(title: String, lines: Vec<Line<'a>>, scroll: usize) -> Paragraph<'a> {
    Paragraph::new(lines)
        .scroll((scroll.min(u16::MAX as usize) as u16, 0))
        .block(Block::bordered().title(title))
}

/// What the screen shows besides the overview.
pub struct ScreenState<'a> {
    /// The changes seen since the console started.
    pub events: &'a EventLog,
    /// Names of the tenants by the names of their token buckets.
    pub tenants: &'a HashMap<u64, String>,
    /// By how many lines the lists are scrolled down.
    pub scroll: usize,
}

/// Draws the whole screen.
pub fn draw(frame: &mut Frame, overview: &Overview, state: &ScreenState) {
    let [top, upper, lower, events, foot] = Layout::vertical([
        Constraint::Length(3),
        Constraint::Fill(2),
        Constraint::Fill(2),
        Constraint::Fill(1),
        Constraint::Length(1),
    ])
    .areas(frame.area());
    let good = Style::new().fg(Color::Green);
    let bad = Style::new().fg(Color::Red);
    let mut registries = Vec::new();
    for (at, fresh) in &overview.registries {
        registries.push(match fresh {
            Some(true) => Span::styled(format!("{at} answers"), good),
            Some(false) => Span::styled(format!("{at} hears no majority"), Color::Yellow),
            None => Span::styled(format!("{at} is silent"), bad),
        });
        registries.push(Span::raw("   "));
    }
    frame.render_widget(panel(" registries ".into(), vec![Line::from(registries)], 0), top);
    let [gateways, services] = Layout::horizontal([Constraint::Fill(1), Constraint::Fill(1)]).areas(upper);
    let lines = overview.gateways.iter().map(|(ip, gateway)| {
        let line = format!(
            "{:<28} {:<16} {ip:<15} {:>6} ms  {}",
            gateway.node,
            gateway.zone,
            gateway.ago_ms,
            if gateway.current { "newest items" } else { "older items" }
        );
        let healthy = gateway.ago_ms < GATEWAY_SILENT_MS && gateway.current;
        Line::styled(line, if healthy { good } else { bad })
    });
    let title = format!(" gateways: {}, last heard by any registry ", overview.gateways.len());
    frame.render_widget(panel(title, lines.collect(), state.scroll), gateways);
    let mut lines = Vec::new();
    for (name, service) in &overview.services {
        lines.push(Line::from(format!(
            "{name:<20} {:>4} ready {:>4} draining {:>4} silent   {} outstanding, capacity {}",
            service.ready.len(),
            service.draining.len(),
            service.silent.len(),
            service.outstanding,
            service.capacity
        )));
        let some =
            |ids: &BTreeSet<String>| ids.iter().take(MAX_LISTED_IDS).cloned().collect::<Vec<_>>().join(" ");
        if !service.draining.is_empty() {
            lines.push(Line::styled(format!("  draining {}", some(&service.draining)), Color::Yellow));
        }
        if !service.slow.is_empty() {
            lines.push(Line::styled(format!("  slow     {}", some(&service.slow)), Color::Yellow));
        }
        if !service.failing.is_empty() {
            lines.push(Line::styled(format!("  failing  {}", some(&service.failing)), bad));
        }
        if !service.silent.is_empty() {
            lines.push(Line::styled(format!("  silent   {}", some(&service.silent)), bad));
        }
    }
    frame.render_widget(panel(" backends ".into(), lines, state.scroll), services);
    let [items, quotas] = Layout::horizontal([Constraint::Fill(1), Constraint::Fill(1)]).areas(lower);
    let all = overview.gateways.len();
    let current = overview.gateways.values().filter(|gateway| gateway.current).count();
    let lines = overview.items.iter().map(|((kind, name), (version, in_force))| {
        let kind = match kind {
            ItemKind::Route => "route",
            ItemKind::Customer => "customer",
            ItemKind::Service => "service",
            ItemKind::Limits => "limits",
        };
        let line = format!("{kind:<9} {name:<24} r{version}");
        if *in_force {
            Line::from(line)
        } else {
            Line::styled(format!("{line} dropped"), Color::DarkGray)
        }
    });
    let title = format!(" items: {}, the newest at {current} of {all} gateways ", overview.items.len());
    frame.render_widget(panel(title, lines.collect(), state.scroll), items);
    let title = match overview.counter {
        Some((ip, term, silent)) => {
            format!(" quotas: counter at {ip}, term {term}, {silent} gateways silent ")
        }
        None => " quotas: no counter ".into(),
    };
    let mut buckets = overview.buckets.clone();
    // The highest demand first.
    buckets.sort_by(|a, b| b.3.total_cmp(&a.3));
    let lines = buckets.iter().map(|(name, level, rate, demand)| {
        let tenant = state.tenants.get(name).cloned().unwrap_or_else(|| format!("{name:016x}"));
        let line =
            format!("{tenant:<20} demand {demand:>7.1} of {rate:>7.1} a second, {level:>7.1} tokens left");
        Line::styled(line, if demand > rate { bad } else { Style::new() })
    });
    frame.render_widget(panel(title, lines.collect(), state.scroll), quotas);
    let lines = state.events.lines().map(|line| Line::from(line.as_str())).collect();
    frame.render_widget(panel(" events ".into(), lines, 0), events);
    frame.render_widget(Line::from(" q quits   up, down scroll").dim(), foot);
}
