//! The commands of `chicoryctl`.

mod audit;
mod ca;
mod drain;
mod edit;
mod evacuation;
mod explain;
mod owner;
mod routes;
mod status;
mod table_cells;
mod table_edits;
mod table_reads;
mod table_text;
mod zone;

pub use audit::{AuditQuery, audit};
pub use ca::{IssueRequest, init_authority, issue_certificate};
pub use drain::drain;
pub use edit::{EditOptions, Editor};
pub use evacuation::{begin_evacuation, finish_evacuation, list_evacuations};
pub use explain::explain;
pub use owner::owner;
pub use routes::{check_routes, get_routes, put_routes};
pub use status::{status, wait_until_in_force};
pub use table_cells::{RowName, set_cells};
pub use table_edits::{import_table, remove_row, set_row};
pub use table_reads::{export_table, get_table, read_table};
pub use zone::{evict_zone, show_zone};
