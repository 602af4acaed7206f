//! The route table: which request goes to which service, and within which limits.
//!
//! A [`RouteTable`] is replaced as a whole and has a version that the operator chose. It is checked
//! once, when it arrives; [`RouteMatcher`] then finds the route of a request.

mod caller_limits;
mod request_kind;
mod route;
mod route_csv;
mod route_csv_fault;
mod route_csv_row;
mod route_matcher;
mod route_place;
mod route_table;
mod route_table_delta;
mod route_table_fault;
mod route_target;
mod routed_service;
mod split_cursor;

pub use caller_limits::CallerLimits;
pub use request_kind::RequestKind;
pub use route::Route;
pub use route_csv::{parse_route_csv, route_csv};
pub use route_csv_fault::RouteCsvFault;
pub use route_matcher::{MatchedRoute, RouteMatcher};
pub use route_place::RoutePlace;
pub use route_table::{MAX_ROUTE_TIMEOUT, RouteTable, RouteTableVersion};
pub use route_table_delta::RouteTableDelta;
pub use route_table_fault::RouteTableFault;
pub use route_target::{RouteTarget, WeightedService};
pub use routed_service::RoutedService;
pub use split_cursor::SplitCursor;
