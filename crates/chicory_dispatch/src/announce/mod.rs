//! Announcements of backend servers and their answers.

mod announcement;
mod announcement_answer;
mod announcement_error;
mod granted_run;

pub use announcement::Announcement;
pub use announcement_answer::AnnouncementAnswer;
pub use announcement_error::AnnouncementError;
pub use granted_run::GrantedRun;
