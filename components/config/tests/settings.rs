//! Settings files of operators: the examples are valid, and errors state line, field and allowed values.

use config::{Settings, explain};

const GOOD: &str = include_str!("../../../examples/permisos-verdes/entry-1.yaml");

fn error_of(text: &str) -> String {
    Settings::parse(text, "host.yaml")
        .unwrap_err()
        .current_context()
        .to_string()
}

#[test]
fn the_examples_are_valid() {
    let settings = Settings::parse(GOOD, "entry-1.yaml").unwrap();
    assert_eq!(&*settings.host.region, "valle-central");
    let other = include_str!("../../../examples/cadwaladr/entry-1.yaml");
    assert_eq!(
        &*Settings::parse(other, "entry-1.yaml").unwrap().host.region,
        "gwynedd"
    );
}

#[test]
fn a_value_out_of_range_is_explained() {
    let text = GOOD.replace("traffic: 2", "traffic: 99");
    insta::assert_snapshot!(error_of(&text), @"host.yaml:27: threads.traffic is 99; allowed is 1 to 64");
}

#[test]
fn a_bad_address_is_explained() {
    let text = GOOD.replace("127.0.0.1:8101", "localhost");
    insta::assert_snapshot!(error_of(&text), @r#"host.yaml:9: listen.callers is "localhost"; allowed is an IP address and a port"#);
}

#[test]
fn an_unknown_field_is_named() {
    let text = GOOD.replace("traffic: 2", "trafic: 2");
    assert!(error_of(&text).contains("unknown field `trafic`"));
}

#[test]
fn every_field_of_the_settings_is_explained() {
    let settings = Settings::parse(GOOD, "entry-1.yaml").unwrap();
    let value = serde_json::to_value(settings).unwrap();
    let explained = explain();
    for (section, fields) in value.as_object().unwrap() {
        for name in fields.as_object().unwrap().keys() {
            assert!(
                explained.contains(&format!("`{section}.{name}`")),
                "{section}.{name} is not explained"
            );
        }
    }
}
