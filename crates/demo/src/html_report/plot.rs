//! The plot of one receiver's counts over time, as SVG.

use std::fmt::Write;

use super::escape;
use crate::statistics::{Counts, ReceiverStatistics, TimeSpan};

/// Background of an outage.
pub(super) const OUTAGE_COLOUR: &str = "#f6d5d2";
/// Background of a Retry-After.
pub(super) const RETRY_AFTER_COLOUR: &str = "#fdf0c4";

/// Size of the plot with its labels, SVG units.
const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 180.0;
/// Width of the labels on the left, SVG units.
const LEFT_MARGIN: f64 = 44.0;
/// Height of the labels below, SVG units.
const BOTTOM_MARGIN: f64 = 24.0;
/// Space above the plot, SVG units.
const TOP_MARGIN: f64 = 8.0;
/// Height of the bars that show Retry-Afters, SVG units.
const RETRY_AFTER_HEIGHT: f64 = 16.0;
/// Width of a span that is too short to be seen, SVG units.
const MIN_SPAN_WIDTH: f64 = 0.5;
/// Interval between labels of the time axis, s.
const LABEL_INTERVAL: usize = 5;
/// Distance of the value 0 from the upper edge, SVG units.
const BASELINE: f64 = HEIGHT - BOTTOM_MARGIN;

/// A plotted figure. Its dashes distinguish it without colours.
pub(super) struct Series {
    pub name: &'static str,
    pub colour: &'static str,
    /// Value of the SVG attribute `stroke-dasharray`.
    pub dashes: &'static str,
    value: fn(&Counts) -> u32,
}

/// The plotted figures.
pub(super) const SERIES: [Series; 4] = [
    Series { name: "accepted per second", colour: "#1f4e79", dashes: "", value: |counts| counts.accepted },
    Series { name: "delivered per second", colour: "#2e7d32", dashes: "", value: |counts| counts.delivered },
    Series {
        name: "calls rejected per second",
        colour: "#b3261e",
        dashes: "4 3",
        value: |counts| counts.rejected_calls,
    },
    Series { name: "in flight", colour: "#6d4c9f", dashes: "1 3", value: |counts| counts.in_flight },
];

/// A plot with its scale.
pub(super) struct Plot<'a> {
    receiver: &'a ReceiverStatistics,
    /// Time at the right edge, us.
    duration_us: u64,
    /// Value at the upper edge.
    max_value: f64,
    svg: String,
}

impl<'a> Plot<'a> {
    /// An empty plot of a run that lasted `duration_us`.
    pub fn new(receiver: &'a ReceiverStatistics, duration_us: u64) -> Self {
        Self { receiver, duration_us, max_value: scale_end(&receiver.seconds), svg: String::new() }
    }

    /// The SVG element.
    pub fn render(mut self) -> String {
        let name = escape(&self.receiver.name);
        let _ = write!(self.svg, "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"{name}\">");
        self.shade_spans(&self.receiver.outages, OUTAGE_COLOUR, BASELINE - TOP_MARGIN);
        self.shade_spans(&self.receiver.retry_afters, RETRY_AFTER_COLOUR, RETRY_AFTER_HEIGHT);
        self.draw_value_axis();
        self.draw_time_axis();
        for series in &SERIES {
            self.draw_series(series);
        }
        self.svg.push_str("</svg>");
        self.svg
    }

    fn x(&self, time_us: f64) -> f64 {
        let fraction = (time_us / self.duration_us.max(1) as f64).min(1.0);
        LEFT_MARGIN + (WIDTH - LEFT_MARGIN) * fraction
    }

    fn y(&self, value: f64) -> f64 {
        BASELINE - (BASELINE - TOP_MARGIN) * value / self.max_value
    }

    fn shade_spans(&mut self, spans: &[TimeSpan], colour: &str, height: f64) {
        let top = BASELINE - height;
        for span in spans {
            let from = self.x(span.from as f64);
            let width = (self.x(span.until.min(self.duration_us) as f64) - from).max(MIN_SPAN_WIDTH);
            let _ = write!(
                self.svg,
                "<rect x=\"{from:.1}\" y=\"{top:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" \
                 fill=\"{colour}\"/>"
            );
        }
    }

    fn draw_value_axis(&mut self) {
        for value in [0.0, self.max_value / 2.0, self.max_value] {
            let y = self.y(value);
            let _ = write!(
                self.svg,
                "<line x1=\"{LEFT_MARGIN}\" x2=\"{WIDTH}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>\
                 <text x=\"{}\" y=\"{:.1}\" font-size=\"12\" text-anchor=\"end\" fill=\"#555\">{value}</text>",
                LEFT_MARGIN - 6.0,
                y + 4.0
            );
        }
    }

    fn draw_time_axis(&mut self) {
        for second in (0..=self.duration_us / 1_000_000).step_by(LABEL_INTERVAL) {
            let _ = write!(
                self.svg,
                "<text x=\"{:.1}\" y=\"{:.1}\" font-size=\"12\" text-anchor=\"middle\" \
                 fill=\"#555\">{second} s</text>",
                self.x(second as f64 * 1e6),
                HEIGHT - 6.0
            );
        }
    }

    /// Draws each second's value at the middle of the second.
    fn draw_series(&mut self, series: &Series) {
        let point = |(second, counts): (usize, &Counts)| {
            let x = self.x((second as f64 + 0.5) * 1e6);
            format!("{x:.1},{:.1}", self.y(f64::from((series.value)(counts))))
        };
        let points: Vec<String> = self.receiver.seconds.iter().enumerate().map(point).collect();
        let Series { colour, dashes, .. } = series;
        let _ = write!(
            self.svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.8\" \
             stroke-dasharray=\"{dashes}\"/>",
            points.join(" ")
        );
    }
}

/// A round value that no series exceeds.
fn scale_end(seconds: &[Counts]) -> f64 {
    let values = seconds.iter().flat_map(|counts| SERIES.map(|series| (series.value)(counts)));
    let max = values.max().unwrap_or(0).max(4);
    let step = if max > 40 { 20 } else { 4 };
    f64::from(max.next_multiple_of(step))
}
