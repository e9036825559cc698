//! Formats numbers and tables in the same way on every machine.

/// Formats a number with three significant digits and thousands separators.
pub fn format_number(value: f64) -> String {
    if !value.is_finite() {
        return "-".into();
    }
    if value == 0.0 {
        return "0".into();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let scale = 10f64.powi(2 - magnitude);
    let rounded = (value * scale).round() / scale;
    if magnitude < -4 {
        return format!("{value:.2e}");
    }
    let decimals = usize::try_from(2 - magnitude).unwrap_or(0);
    let text = format!("{rounded:.decimals$}");
    let text = if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    let (whole, fraction) = text.split_once('.').map_or((text, None), |(w, f)| (w, Some(f)));
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |digits| ("-", digits));
    let fraction = fraction.map(|f| format!(".{f}")).unwrap_or_default();
    format!("{sign}{}{fraction}", thousands(digits))
}

fn thousands(digits: &str) -> String {
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Formats a share as percentage.
pub fn format_percent(share: f64) -> String {
    if share.is_finite() { format!("{:.1}%", 100.0 * share) } else { "-".into() }
}

/// Formats a table in Markdown.
pub fn markdown_table(heads: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
    let heads: Vec<String> = heads.iter().map(|head| (*head).into()).collect();
    let rule: Vec<String> = heads.iter().map(|_| "---".into()).collect();
    let mut text = line(&heads) + &line(&rule);
    rows.iter().for_each(|row| text.push_str(&line(row)));
    text
}
