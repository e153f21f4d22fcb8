//! The command line and the configuration, as a new user meets them.

use std::process::Command;

fn run(args: &[&str]) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_loomlb")).args(args).env_clear().output().unwrap();
    let text = String::from_utf8([out.stdout, out.stderr].concat()).unwrap();
    format!("{}: {}", out.status.code().unwrap(), text.trim())
}

#[test]
fn faults_on_the_command_line_and_in_the_configuration_are_named() {
    let files = tempfile::tempdir().unwrap();
    let file = files.path().join("config.json");
    let good =
        r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[{"name":"view"}]}}"#;
    let mut said = vec![run(&[]), run(&["dance"]), run(&["serve"])];
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
        std::fs::write(&file, if old.is_empty() { good.to_string() } else { good.replace(old, new) })
            .unwrap();
        said.push(run(&["check-config", "-c", file.to_str().unwrap()]));
    }
    insta::assert_snapshot!(said.join("\n"), @r#"
    2: loomlb: no command given; see loomlb --help
    2: loomlb: unknown command "dance"; see loomlb --help
    2: loomlb: configuration: LB_CONFIG: not set, and no --config given
    0: name: loomlb
    listen: 127.0.0.1:0
    discovery: 127.0.0.1:1
    scheduler 0 of 0, 0 peers
    classes: view
    tenants: 
    connections: 662 in, 330 out
    2: loomlb: configuration: listen: missing
    2: loomlb: configuration: discovery: "here" is no address of the form IP:PORT
    2: loomlb: configuration: settings.classes: names no class
    2: loomlb: configuration: settings.classes[0].name: invalid type: integer `7`, expected a string at line 1 column 82
    2: loomlb: configuration: limits.sockets: 8 is too few (64 at least)
    2: loomlb: configuration: seed: "xyz" is not a hexadecimal number of 64 bits
    2: loomlb: configuration: peers[1]: "x" is no address of the form IP:PORT
    "#);
}
