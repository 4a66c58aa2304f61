//! The report on service-level burn for people: a table and a page with plots.

use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::style::BLUE;
use plotters::style::Color;
use plotters::style::RED;
use plotters::style::WHITE;

use crate::process::burn::Burn;
use crate::process::burn::BurnError;
use crate::process::burn::Indicator;

/// Size of one plot in pixels.
const PLOT_SIZE: (u32, u32) = (720, 220);

/// The table for a terminal.
#[must_use]
pub fn table(burns: &[Burn]) -> String {
    let mut lines = vec![format!(
        "{:<16} {:<9} {:>8} {:>8} {:>9}  {:<14} {:>7} {:>7} {:>7} {:>8}",
        "name",
        "about",
        "target",
        "good",
        "allowance",
        "windows",
        "long",
        "short",
        "worst",
        "alert"
    )];
    for burn in burns {
        for (index, pair) in burn.windows.iter().enumerate() {
            let first = index == 0;
            let only_first = |text: String| if first { text } else { String::new() };
            lines.push(format!(
                "{:<16} {:<9} {:>8} {:>8} {:>9}  {:<14} {:>7.2} {:>7.2} {:>7.2} {:>7}s",
                only_first(burn.objective.name.clone()),
                only_first(about(burn.objective.indicator).to_owned()),
                only_first(percent(burn.objective.target_share)),
                only_first(percent(burn.good_share)),
                only_first(percent(burn.allowance_used)),
                format!(
                    "{}s/{}s>{}",
                    pair.window.long_s, pair.window.short_s, pair.window.factor
                ),
                pair.long_burn,
                pair.short_burn,
                pair.worst_long_burn,
                pair.alerting_s,
            ));
        }
    }
    lines.join("\n")
}

/// A page with the table and a plot of each objective's burn rate.
///
/// # Errors
///
/// A plot could not be drawn.
pub fn page(title: &str, burns: &[Burn]) -> Result<String, BurnError> {
    let title = escape(title);
    let mut html = format!(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>{title}</title>\n\
         <style>body{{font-family:sans-serif;max-width:60em;margin:2em auto}}\
         pre{{background:#f4f4f4;padding:1em;overflow-x:auto}}</style>\n\
         <h1>{title}</h1>\n<pre>{}</pre>\n",
        escape(&table(burns))
    );
    for burn in burns {
        let heading = format!(
            "{}: {} (target {})",
            burn.objective.name,
            about(burn.objective.indicator),
            percent(burn.objective.target_share)
        );
        html += "<h2>";
        html += &escape(&heading);
        html += "</h2>\n";
        html += &plot(burn)?;
    }
    html.push_str("</html>\n");
    Ok(html)
}

/// Burn rate over the first long window through time, with its factor as a line.
fn plot(burn: &Burn) -> Result<String, BurnError> {
    let mut svg = String::new();
    draw(burn, &mut svg).map_err(|error| BurnError::Plot(error.to_string()))?;
    Ok(svg)
}

fn draw(burn: &Burn, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let factor = burn.windows.first().map_or(1.0, |pair| pair.window.factor);
    let end_s = burn.curve.last().map_or(1.0, |(at_s, _)| *at_s).max(1.0);
    let highest = burn
        .curve
        .iter()
        .map(|(_, rate)| *rate)
        .fold(factor, f64::max)
        * 1.1;
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end_s, 0.0..highest)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("burn rate")
        .draw()?;
    chart.draw_series(LineSeries::new(
        burn.curve.iter().copied(),
        BLUE.stroke_width(2),
    ))?;
    let limit = [(0.0, factor), (end_s, factor)];
    chart.draw_series(LineSeries::new(limit, RED.stroke_width(1)))?;
    area.present()?;
    Ok(())
}

const fn about(indicator: Indicator) -> &'static str {
    match indicator {
        Indicator::Answered => "answered",
        Indicator::Fast => "fast",
        Indicator::Busy => "busy",
        Indicator::Fresh => "fresh",
    }
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
