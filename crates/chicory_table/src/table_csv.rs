//! Parses and formats the table as CSV, the format in which operators maintain it.

use std::collections::BTreeMap;

use csv::{ReaderBuilder, StringRecord, Trim, Writer};

use crate::csv_column::CsvColumn;
use crate::csv_row::{CsvRow, UNLIMITED, ZONE_SEPARATOR};
use crate::{CsvFault, CustodyLease, ServerOverride, ServicePolicy, TableContent};

/// Value of the server column in the row of a whole service.
pub const WHOLE_SERVICE: &str = "*";

const NAME: &str = "a name";

/// Parses a table whose first line consists of the names of the columns.
///
/// The row of a whole service has `*` as its server. In the row of a single backend server, an
/// empty cell keeps the value of the service, and the columns from `keyed` on must be empty. Lines
/// that are empty or start with `#` are skipped.
///
/// # Errors
///
/// Returns every [`CsvFault`] that was found.
///
/// # Examples
///
/// ```
/// use chicory_table::parse_csv;
///
/// let faults = parse_csv("service,server\n").unwrap_err();
/// assert!(faults[0].to_string().starts_with("line 1: the columns must be service,server,weight"));
/// ```
pub fn parse_csv(text: &str) -> Result<TableContent, Vec<CsvFault>> {
    let mut reader = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(Trim::All)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let mut parser = Parser::default();
    let mut records = reader.records();
    match records.next() {
        Some(Ok(header)) if header == header_record() => {}
        _ => parser.faults.push(CsvFault::ColumnNames {
            expected: column_names().join(","),
        }),
    }
    if parser.faults.is_empty() {
        records.for_each(|record| parser.parse(record));
    }
    parser.finish()
}

/// Formats a table so that [`parse_csv`] reads it back unchanged.
#[must_use]
pub fn to_csv(content: &TableContent) -> String {
    let mut rows = vec![column_names().map(ToOwned::to_owned).to_vec()];
    for (service, policy) in &content.services {
        rows.push(policy_row(service, policy));
        let overrides = content.overrides.get(service).into_iter().flatten();
        rows.extend(overrides.map(|(server, values)| override_row(service, server, *values)));
    }
    write_rows(rows)
}

fn write_rows(rows: Vec<Vec<String>>) -> String {
    let mut writer = Writer::from_writer(Vec::new());
    for row in rows {
        writer
            .write_record(row)
            .expect("rows of equal length can be written to memory");
    }
    let bytes = writer
        .into_inner()
        .expect("flushing to memory does not fail");
    String::from_utf8(bytes).expect("the cells are UTF-8")
}

#[derive(Default)]
struct Parser {
    content: TableContent,
    faults: Vec<CsvFault>,
}

impl Parser {
    fn parse(&mut self, record: Result<StringRecord, csv::Error>) {
        match record {
            Ok(record) => self.parse_record(&record),
            Err(error) => self.faults.push(CsvFault::Line {
                line: error.position().map_or(0, csv::Position::line),
                problem: error.to_string(),
            }),
        }
    }

    fn parse_record(&mut self, record: &StringRecord) {
        let line = record.position().map_or(0, csv::Position::line);
        let column_count = CsvColumn::ALL.len();
        if record.len() != column_count {
            self.faults.push(CsvFault::Line {
                line,
                problem: format!("{} cells instead of {column_count}", record.len()),
            });
            return;
        }
        let mut row = CsvRow::new(line, record);
        if row.cell(CsvColumn::Service).is_empty() {
            row.push_fault(CsvColumn::Service, NAME);
        }
        if row.cell(CsvColumn::Server) == WHOLE_SERVICE {
            self.parse_policy(&mut row);
        } else {
            self.parse_override(&mut row);
        }
        self.faults.extend(row.into_faults());
    }

    fn parse_policy(&mut self, row: &mut CsvRow<'_>) {
        let service = row.cell(CsvColumn::Service).to_owned();
        let policy = row.policy();
        let former = self.content.services.insert(service, policy);
        self.record_duplicate(row, former.is_some());
    }

    fn parse_override(&mut self, row: &mut CsvRow<'_>) {
        if row.cell(CsvColumn::Server).is_empty() {
            row.push_fault(CsvColumn::Server, "a name, or * for the whole service");
        }
        let service = row.cell(CsvColumn::Service).to_owned();
        let server = row.cell(CsvColumn::Server).to_owned();
        let values = row.server_override();
        let rows: &mut BTreeMap<_, _> = self.content.overrides.entry(service).or_default();
        let former = rows.insert(server, values);
        self.record_duplicate(row, former.is_some());
    }

    fn record_duplicate(&mut self, row: &CsvRow<'_>, is_duplicate: bool) {
        if is_duplicate {
            self.faults.push(CsvFault::DuplicateRow {
                line: row.line(),
                service: row.cell(CsvColumn::Service).to_owned(),
                server: row.cell(CsvColumn::Server).to_owned(),
            });
        }
    }

    fn finish(mut self) -> Result<TableContent, Vec<CsvFault>> {
        if self.faults.is_empty() {
            let faults = self.content.faults().into_iter();
            self.faults
                .extend(faults.map(|fault| CsvFault::Rows { fault }));
        }
        if self.faults.is_empty() {
            Ok(self.content)
        } else {
            Err(self.faults)
        }
    }
}

fn column_names() -> [&'static str; CsvColumn::ALL.len()] {
    CsvColumn::ALL.map(CsvColumn::name)
}

fn header_record() -> StringRecord {
    StringRecord::from(column_names().to_vec())
}

fn policy_row(service: &str, policy: &ServicePolicy) -> Vec<String> {
    let zones: Vec<&str> = policy.zones.iter().map(String::as_str).collect();
    vec![
        service.to_owned(),
        WHOLE_SERVICE.to_owned(),
        policy.weight.to_string(),
        policy.max_in_flight.to_string(),
        policy.max_connections.to_string(),
        policy.queue_limit.to_string(),
        policy.rate_limit_per_s.to_string(),
        policy.keyed.to_string(),
        policy.idempotent.to_string(),
        policy.deadline.as_millis().to_string(),
        match policy.custody_lease {
            CustodyLease::Unlimited => UNLIMITED.to_owned(),
            CustodyLease::Limited(lease) => lease.as_millis().to_string(),
        },
        zones.join(ZONE_SEPARATOR),
    ]
}

fn override_row(service: &str, server: &str, values: ServerOverride) -> Vec<String> {
    let numbers = [
        values.weight,
        values.max_in_flight,
        values.max_connections,
        values.queue_limit,
        values.rate_limit_per_s,
    ];
    let numbers = numbers.map(|number| number.map_or(String::new(), |number| number.to_string()));
    let names = [service.to_owned(), server.to_owned()];
    let mut row: Vec<String> = names.into_iter().chain(numbers).collect();
    row.resize(CsvColumn::ALL.len(), String::new());
    row
}
