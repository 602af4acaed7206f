//! Runs a review case: `review_cases NAME REPOSITORY FOLDER RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0`
//! it does the same without the disruption.

mod case_former_life;
mod case_hold;
mod case_late_check_in;
mod case_late_copy;
mod case_release;
mod case_stop;
mod endpoint;
mod http;
mod record;
mod requester;
mod site;
mod verdict;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;
use site::Site;
use verdict::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, repository, folder, record] = &arguments[..] else {
        eprintln!("usage: review_cases NAME REPOSITORY FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(Path::new(record)).expect("a record"));
    record.say(&format!("case {name}, trouble: {has_trouble}"));
    let site = Site::new(Path::new(repository), Path::new(folder), record.clone());
    let Some(site) = site else {
        record.say("no free addresses");
        return ExitCode::from(2);
    };
    let verdict = match name.as_str() {
        "hold" => case_hold::run(&site, has_trouble),
        "late-check-in" => case_late_check_in::run(&site, has_trouble),
        "former-life" => case_former_life::run(&site, has_trouble),
        "late-copy" => case_late_copy::run(&site, has_trouble),
        "release" => case_release::run(&site, has_trouble),
        "stop" => case_stop::run(&site, has_trouble),
        _ => Verdict::NotRun("no such case".into()),
    };
    site.stop_all();
    match verdict {
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::NotRun(reason) => {
            record.say(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
