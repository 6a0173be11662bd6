//! Output of aligned tables.

/// Prints rows under a header, each column as wide as its widest cell.
pub(crate) fn print(header: &[&str], rows: &[Vec<String>]) {
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let mut all = vec![header];
    all.extend_from_slice(rows);
    print_rows(&all);
}

/// Prints rows without a header.
pub(crate) fn print_rows(rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        for (column, cell) in row.iter().enumerate() {
            let width = cell.chars().count();
            match widths.get_mut(column) {
                Some(widest) => *widest = width.max(*widest),
                None => widths.push(width),
            }
        }
    }
    for row in rows {
        print_row(row.iter().map(String::as_str), &widths);
    }
}

fn print_row<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) {
    let mut line = String::new();
    for (cell, width) in cells.zip(widths) {
        line.push_str(&format!("{cell:<width$}  "));
    }
    println!("{}", line.trim_end());
}
