//! Formats and parses points in time, in UTC, and durations.

const DAY_MS: u64 = 86_400_000;

/// Formats milliseconds since the Unix epoch like `2026-12-02T21:30:00.123Z`.
///
/// The date is computed by Hinnant's `civil_from_days` algorithm.
pub fn format_utc(at_ms: u64) -> String {
    let days = at_ms / DAY_MS + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    let in_day_ms = at_ms % DAY_MS;
    let (hour, minute) = (in_day_ms / 3_600_000, in_day_ms / 60_000 % 60);
    let (second, milli) = (in_day_ms / 1_000 % 60, in_day_ms % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Parses a duration such as `90s`, `15m`, `2h` or `1d` into milliseconds.
pub fn parse_duration_ms(text: &str) -> Option<u64> {
    let unit_index = text.len().checked_sub(1)?;
    let (number, unit) = text.split_at_checked(unit_index)?;
    let unit_ms = match unit {
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => DAY_MS,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(unit_ms)
}

/// Parses a time in the form of [`format_utc`], whose milliseconds are optional, into milliseconds
/// since the Unix epoch.
pub fn parse_utc_ms(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|part| part.parse::<u64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (clock, milli) = time.split_once('.').unwrap_or((time, "0"));
    let mut clock = clock.splitn(3, ':').map(|part| part.parse::<u64>().ok());
    let (hour, minute, second) = (clock.next()??, clock.next()??, clock.next()??);
    let in_range = (1970..=9999).contains(&year)
        && (1..=12).contains(&month)
        && (1..=31).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60;
    if !in_range {
        return None;
    }
    let shifted_year = if month <= 2 { year - 1 } else { year };
    let shifted_month = (month + 9) % 12;
    let day_of_year = (153 * shifted_month + 2) / 5 + day - 1;
    let year_of_era = shifted_year % 400;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    let days = shifted_year / 400 * 146_097 + day_of_era - 719_468;
    let seconds = hour * 3_600 + minute * 60 + second;
    Some(days * DAY_MS + seconds * 1_000 + milli.parse::<u64>().ok()?)
}
