//! Line charts over the seconds of a run as inline SVG.

use plotters::coord::Shift;
use plotters::prelude::*;

/// A curve of a chart.
#[derive(Clone, Debug)]
pub struct Curve<'a> {
    /// Name in the legend.
    pub name: &'a str,
    /// One value per second.
    pub values: Vec<f64>,
}

/// A vertical line at the time of an event.
#[derive(Clone, Copy, Debug)]
pub struct EventMark {
    /// Time of the event in seconds.
    pub at_s: f64,
}

/// Colors that can be distinguished with color vision deficiency (Okabe and Ito).
const COLORS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
];
const IMAGE_SIZE: (u32, u32) = (900, 260);

/// Draws curves and event marks as SVG. Returns an empty string if the curves have no values.
pub fn draw_curves(y_label: &str, curves: &[Curve<'_>], event_marks: &[EventMark]) -> String {
    let second_count = curves.iter().map(|c| c.values.len()).max().unwrap_or(0);
    if second_count == 0 {
        return String::new();
    }
    let y_max = curves.iter().flat_map(|c| &c.values).copied().filter(|v| v.is_finite()).fold(0.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, IMAGE_SIZE).into_drawing_area();
        // Drawing into a string does not fail on I/O. After any other error the part that was drawn is kept.
        let _ = draw_chart(
            &area,
            y_label,
            curves,
            event_marks,
            second_count,
            if y_max > 0.0 { y_max * 1.08 } else { 1.0 },
        );
    }
    svg
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw_chart<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    y_label: &str,
    curves: &[Curve<'_>],
    event_marks: &[EventMark],
    second_count: usize,
    y_max: f64,
) -> DrawResult
where
    <SVGBackend<'a> as DrawingBackend>::ErrorType: 'static,
{
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..second_count as f64, 0.0..y_max)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.12))
        .x_desc("seconds")
        .y_desc(y_label)
        .draw()?;
    for m in event_marks.iter().filter(|m| m.at_s <= second_count as f64) {
        chart.draw_series([PathElement::new([(m.at_s, 0.0), (m.at_s, y_max)], BLACK.mix(0.25))])?;
    }
    for (i, curve) in curves.iter().enumerate() {
        let color = COLORS[i % COLORS.len()];
        let points = curve.values.iter().enumerate().map(|(s, v)| (s as f64 + 0.5, *v));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2)).draw()?;
    area.present()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_chart_contains_its_curves_and_marks_and_refers_to_no_other_file() {
        let values = |n: f64| (0..10).map(|i| n * f64::from(i)).collect();
        let svg = draw_curves(
            "a second",
            &[
                Curve { name: "served <b>", values: values(2.0) },
                Curve { name: "refused", values: values(1.0) },
            ],
            &[EventMark { at_s: 3.0 }, EventMark { at_s: 99.0 }],
        );
        assert!(svg.starts_with("<svg") && svg.contains("refused") && svg.contains("seconds"), "{svg}");
        // Names are escaped, and nothing is loaded from elsewhere.
        assert!(!svg.contains("<b>") && !svg.contains("href"));
        assert!(svg.matches("<polyline").count() >= 3);
    }

    #[test]
    fn no_curves_give_no_chart_and_non_finite_values_are_tolerated() {
        assert_eq!(draw_curves("x", &[], &[]), "");
        let non_finite = vec![f64::NAN, f64::INFINITY, 0.0];
        assert!(draw_curves("x", &[Curve { name: "odd", values: non_finite }], &[]).starts_with("<svg"));
    }
}
