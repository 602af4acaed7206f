//! The definition of the command line.

use chicory_ctl::command_line;
use googletest::prelude::*;

#[gtest]
fn its_definition_is_consistent() {
    command_line().debug_assert();
}

#[gtest]
fn settings_may_follow_the_arguments_of_every_command() {
    let settings = [
        "--control",
        "c-1=127.0.0.1:1",
        "--ca",
        "a",
        "--cert",
        "b",
        "--key",
        "c",
    ];
    for command in [
        vec!["table", "get"],
        vec![
            "table",
            "set",
            "archive",
            "*",
            "weight=1",
            "--edit-id",
            "e1",
        ],
        vec!["table", "remove", "archive", "archive-07"],
        vec!["table", "import", "table.csv", "--wait"],
        vec!["table", "export"],
        vec!["table", "status"],
        vec!["drain", "archive", "archive-07", "--undo"],
        vec!["routes", "check", "routes.csv"],
        vec!["routes", "get", "--site", "10.0.0.1:7540,10.0.0.2:7540"],
        vec![
            "routes",
            "put",
            "routes.csv",
            "--site",
            "10.0.0.1:7540",
            "--routes-version",
            "7",
        ],
        vec!["evacuation", "begin", "south", "--site", "10.0.0.1:7540"],
        vec!["evacuation", "finish", "south", "--site", "10.0.0.1:7540"],
        vec!["evacuation", "list", "--site", "10.0.0.1:7540"],
        vec!["explain", "a1", "one.log", "two.log"],
        vec!["zone", "show"],
        vec!["zone", "evict", "bodega-sur", "--yes"],
        vec!["owner", "archive", "k1"],
        vec!["audit", "--by", "ana"],
    ] {
        let args = ["chicoryctl"].into_iter().chain(command.iter().copied());
        let parsed = command_line().try_get_matches_from(args.chain(settings));
        expect_that!(parsed.is_ok(), eq(true), "{command:?}: {parsed:?}");
    }
}
