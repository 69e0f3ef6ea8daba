//! Finds a field in a scenario's text.

/// The line of a field, counted from 1; where the field is left out, the line at which its table begins.
pub(in crate::scenario) fn line(text: &str, field: &str) -> usize {
    let (table, name) = field.rsplit_once('.').unwrap_or(("", field));
    let (table, index) = match table.split_once('[') {
        Some((table, index)) => (table, index.trim_end_matches(']').parse::<usize>().ok()),
        None => (table, None),
    };
    let header = if index.is_some() {
        format!("[[{table}]]")
    } else {
        format!("[{table}]")
    };
    let mut tables_so_far = 0;
    let mut inside = table.is_empty();
    let mut table_line = 1;
    for (n, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            let matches = line == header;
            inside = matches && index.is_none_or(|index| index == tables_so_far);
            tables_so_far += usize::from(matches);
            if inside {
                table_line = n + 1;
            }
        } else if inside && line.split('=').next().is_some_and(|key| key.trim() == name) {
            return n + 1;
        }
    }
    table_line
}
