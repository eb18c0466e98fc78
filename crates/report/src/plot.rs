//! Curves over the seconds of a day as SVG, which stands in the page itself.

use plotters::coord::Shift;
use plotters::prelude::*;

/// A curve.
#[derive(Clone, Debug)]
pub struct Curve<'a> {
    /// What it is called in the legend.
    pub name: &'a str,
    /// A value for each second.
    pub values: Vec<f64>,
}

/// A moment worth a mark.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Seconds.
    pub at_s: f64,
}

/// Colours that people who see few of them can tell apart (Okabe and Ito).
const COLORS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
];
const SIZE: (u32, u32) = (900, 260);

/// Draws curves with marks; an empty text where there is nothing to draw.
pub fn curves(y_name: &str, curves: &[Curve<'_>], moments: &[Moment]) -> String {
    let seconds = curves.iter().map(|c| c.values.len()).max().unwrap_or(0);
    if seconds == 0 {
        return String::new();
    }
    let top = curves.iter().flat_map(|c| &c.values).copied().filter(|v| v.is_finite()).fold(0.0, f64::max);
    let mut out = String::new();
    {
        let area = SVGBackend::with_string(&mut out, SIZE).into_drawing_area();
        // Drawing into a text fails on nothing that is ours to mend; what was drawn stands.
        let _ = draw(&area, y_name, curves, moments, seconds, if top > 0.0 { top * 1.08 } else { 1.0 });
    }
    out
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn draw<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    y_name: &str,
    curves: &[Curve<'_>],
    moments: &[Moment],
    seconds: usize,
    top: f64,
) -> Drawn
where
    <SVGBackend<'a> as DrawingBackend>::ErrorType: 'static,
{
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..top)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.12))
        .x_desc("seconds")
        .y_desc(y_name)
        .draw()?;
    for m in moments.iter().filter(|m| m.at_s <= seconds as f64) {
        chart.draw_series([PathElement::new([(m.at_s, 0.0), (m.at_s, top)], BLACK.mix(0.25))])?;
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
    fn a_picture_holds_its_curves_and_marks_and_asks_nobody_for_anything() {
        let values = |n: f64| (0..10).map(|i| n * f64::from(i)).collect();
        let drawn = curves(
            "a second",
            &[
                Curve { name: "served <b>", values: values(2.0) },
                Curve { name: "refused", values: values(1.0) },
            ],
            &[Moment { at_s: 3.0 }, Moment { at_s: 99.0 }],
        );
        assert!(
            drawn.starts_with("<svg") && drawn.contains("refused") && drawn.contains("seconds"),
            "{drawn}"
        );
        // A name can't break out of the picture, and nothing is fetched.
        assert!(!drawn.contains("<b>") && !drawn.contains("href"));
        assert!(drawn.matches("<polyline").count() >= 3);
    }

    #[test]
    fn nothing_is_drawn_of_nothing_and_odd_values_do_no_harm() {
        assert_eq!(curves("x", &[], &[]), "");
        let odd = vec![f64::NAN, f64::INFINITY, 0.0];
        assert!(curves("x", &[Curve { name: "odd", values: odd }], &[]).starts_with("<svg"));
    }
}
