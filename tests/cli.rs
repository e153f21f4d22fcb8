//! Error messages of the command line, the configuration and the operator file.

use std::process::Command;

fn run(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_loomlb")).args(args).env_clear().output().unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    format!("{}: {}", output.status.code().unwrap(), text.trim())
}

#[test]
fn errors_on_the_command_line_and_in_the_configuration_are_explained() {
    let files = tempfile::tempdir().unwrap();
    let file = files.path().join("config.json");
    let valid =
        r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[{"name":"view"}]}}"#;
    let first_line = |text: String| text.lines().next().unwrap().to_string();
    let mut outputs =
        vec![first_line(run(&["dance"])), first_line(run(&["serve", "--loud"])), run(&["serve"])];
    assert!(run(&[]).starts_with("2: A job scheduler"));
    for (old, new) in [
        ("", ""),
        (r#""listen":"127.0.0.1:0","#, ""),
        ("127.0.0.1:1", "here"),
        (r#"[{"name":"view"}]"#, "[]"),
        (r#""view""#, "7"),
        (r#"{"listen""#, r#"{"limits":{"sockets":8},"listen""#),
        (r#"{"listen""#, r#"{"seed":"xyz","listen""#),
        (r#"{"listen""#, r#"{"peers":["127.0.0.1:1","x"],"listen""#),
    ] {
        std::fs::write(&file, if old.is_empty() { valid.to_string() } else { valid.replace(old, new) })
            .unwrap();
        outputs.push(run(&["check-config", "-c", file.to_str().unwrap()]));
    }
    std::fs::write(&file, valid).unwrap();
    let operator = files.path().join("loomlb.toml");
    for text in [
        "[log]\nformat = \"json\"",
        "[log]\nformat = \"xml\"",
        "[log]\n\ncolour = true",
        "[log]\n\nlevel = \"loud\"",
        "[log",
        "[tier]\nkey = \"sixteen letters.\"\nbound_s = 1.2\n[[tier.voter]]\nname = \"a\"\nat = \"127.0.0.1:1\"",
        "[tier]\n\nkey = \"short\"\nvoter = []",
        "[tier]\nkey = \"sixteen letters.\"\nvoter = []",
    ] {
        std::fs::write(&operator, text).unwrap();
        let output = run(&["check-config", "-c", file.to_str().unwrap(), "-o", operator.to_str().unwrap()]);
        outputs.push(output.lines().last().unwrap().replace(operator.to_str().unwrap(), "FILE"));
    }
    insta::assert_snapshot!(outputs.join("\n"), @r#"
    2: error: unrecognized subcommand 'dance'
    2: error: unexpected argument '--loud' found
    2: loomlb: configuration: LB_CONFIG: not set, and no --config given
    0: name: loomlb
    listen: 127.0.0.1:0
    discovery: 127.0.0.1:1
    scheduler 0 of 0, 0 peers
    classes: view
    tenants: 
    connections: 662 in, 330 out
    log: Text, info
    2: loomlb: configuration: listen: missing
    2: loomlb: configuration: discovery: "here" is not an address of the form IP:PORT
    2: loomlb: configuration: settings.classes: names no class
    2: loomlb: configuration: settings.classes[0].name: invalid type: integer `7`, expected a string at line 1 column 82
    2: loomlb: configuration: limits.sockets: 8 is too few (64 at least)
    2: loomlb: configuration: seed: "xyz" is not a hexadecimal number of 64 bits
    2: loomlb: configuration: peers[1]: "x" is not an address of the form IP:PORT
    log: Json, info
    2: loomlb: operator file: FILE: line 2: unknown variant `xml`, expected `text` or `json`
    2: loomlb: operator file: FILE: line 3: unknown field `colour`, expected `format` or `level`
    2: loomlb: operator file: FILE: line 3: log.level: "loud": a level is off, error, warn, info, debug or trace
    2: loomlb: operator file: FILE: line 1: unclosed table, expected `]`
    2: loomlb: operator file: FILE: line 3: tier.bound_s: 1.2 s is too short for these values of delay_s, renew_s and drift: must be at least 1.531 s
    2: loomlb: operator file: FILE: line 3: tier.key: 5 bytes, must be at least 16
    2: loomlb: operator file: FILE: line 3: tier.voter: 0 voters, must be 1, 3, 5 or 7
    "#);
}
