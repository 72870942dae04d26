//! The picture on a terminal.

use crate::status::{Events, Picture};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style, Stylize};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Paragraph};
use ratatui::Frame;
use starlinghill_config_model::ItemKind;
use std::collections::HashMap;

fn panel<'a>(title: String, lines: Vec<Line<'a>>, from: usize) -> Paragraph<'a> {
    Paragraph::new(lines)
        .scroll((from.min(u16::MAX as usize) as u16, 0))
        .block(Block::bordered().title(title))
}

/// What is drawn beside the picture.
pub struct Beside<'a> {
    /// Events.
    pub events: &'a Events,
    /// Tenants by the names of their stores.
    pub tenants: &'a HashMap<u64, String>,
    /// How far the lists are scrolled.
    pub from: usize,
}

/// Draws all of it.
pub fn draw(frame: &mut Frame, picture: &Picture, beside: &Beside) {
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
    let mut racks = Vec::new();
    for (at, fresh) in &picture.racks {
        racks.push(match fresh {
            Some(true) => Span::styled(format!("{at} answers"), good),
            Some(false) => Span::styled(format!("{at} hears no majority"), Color::Yellow),
            None => Span::styled(format!("{at} is silent"), bad),
        });
        racks.push(Span::raw("   "));
    }
    frame.render_widget(panel(" registries ".into(), vec![Line::from(racks)], 0), top);
    let [gateways, services] = Layout::horizontal([Constraint::Fill(1), Constraint::Fill(1)]).areas(upper);
    let lines = picture.gateways.iter().map(|(ip, gateway)| {
        let line = format!(
            "{:<28} {:<16} {ip:<15} {:>6} ms  {}",
            gateway.node,
            gateway.zone,
            gateway.ago_ms,
            if gateway.current { "newest items" } else { "older items" }
        );
        Line::styled(line, if gateway.ago_ms < 2_000 && gateway.current { good } else { bad })
    });
    let title = format!(" gateways: {}, each asks all registries ", picture.gateways.len());
    frame.render_widget(panel(title, lines.collect(), beside.from), gateways);
    let mut lines = Vec::new();
    for (name, service) in &picture.services {
        lines.push(Line::from(format!(
            "{name:<20} {:>4} ready {:>4} draining {:>4} silent   {} out at {} places",
            service.ready.len(),
            service.draining.len(),
            service.silent.len(),
            service.out,
            service.places
        )));
        let some = |ids: &std::collections::BTreeSet<String>| {
            ids.iter().take(6).cloned().collect::<Vec<_>>().join(" ")
        };
        if !service.draining.is_empty() {
            lines.push(Line::styled(format!("  draining {}", some(&service.draining)), Color::Yellow));
        }
        if !service.slow.is_empty() {
            lines.push(Line::styled(format!("  slow     {}", some(&service.slow)), Color::Yellow));
        }
        if !service.ill.is_empty() {
            lines.push(Line::styled(format!("  ill      {}", some(&service.ill)), bad));
        }
        if !service.silent.is_empty() {
            lines.push(Line::styled(format!("  silent   {}", some(&service.silent)), bad));
        }
    }
    frame.render_widget(panel(" backends ".into(), lines, beside.from), services);
    let [items, count] = Layout::horizontal([Constraint::Fill(1), Constraint::Fill(1)]).areas(lower);
    let all = picture.gateways.len();
    let current = picture.gateways.values().filter(|gateway| gateway.current).count();
    let lines = picture.items.iter().map(|((kind, name), (version, stands))| {
        let kind = match kind {
            ItemKind::Route => "route",
            ItemKind::Customer => "customer",
            ItemKind::Service => "service",
            ItemKind::Limits => "limits",
        };
        let line = format!("{kind:<9} {name:<24} r{version}");
        if *stands {
            Line::from(line)
        } else {
            Line::styled(format!("{line} dropped"), Color::DarkGray)
        }
    });
    let title = format!(" items: {}, the newest at {current} of {all} gateways ", picture.items.len());
    frame.render_widget(panel(title, lines.collect(), beside.from), items);
    let title = match picture.holder {
        Some((ip, term, silent)) => format!(" count: at {ip}, term {term}, {silent} gateways silent "),
        None => " count: kept nowhere ".into(),
    };
    let mut stores = picture.stores.clone();
    stores.sort_by(|a, b| b.3.total_cmp(&a.3));
    let lines = stores.iter().map(|(name, level, rate, asked)| {
        let who = beside.tenants.get(name).cloned().unwrap_or_else(|| format!("{name:016x}"));
        let line = format!("{who:<20} asks {asked:>7.1} of {rate:>7.1} a second, holds {level:>7.1}");
        Line::styled(line, if asked > rate { bad } else { Style::new() })
    });
    frame.render_widget(panel(title, lines.collect(), beside.from), count);
    let lines = beside.events.lines().map(|line| Line::from(line.as_str())).collect();
    frame.render_widget(panel(" events ".into(), lines, 0), events);
    frame.render_widget(Line::from(" q ends   up, down scroll").dim(), foot);
}
