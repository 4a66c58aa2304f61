//! Checks of JSON objects against tables of fields, so that every error names
//! its key and what is allowed there.

use std::net::SocketAddr;

use serde_json::Value;

/// What a field may hold.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// Text that is not empty.
    Text,
    /// A list of texts.
    Texts,
    /// An IP address and port.
    Address,
    /// A list of IP addresses and ports.
    Addresses,
    /// A whole number from the first to the second, both included.
    Integer(u64, u64),
    /// One of these texts.
    Choice(&'static [&'static str]),
    /// An object whose values are objects.
    Objects,
    /// An object, whose own fields are checked elsewhere.
    Object,
    /// A number above 0 and below 1.
    Share,
}

/// One field of an object.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Its key.
    pub key: &'static str,
    /// What it may hold.
    pub kind: Kind,
    /// It has no default.
    pub required: bool,
}

/// A key that is missing, unknown or out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, its parts joined by dots.
    pub path: String,
    /// What is allowed there.
    pub allowed: String,
}

/// Problems in one line.
#[must_use]
pub fn list(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{}: allowed is {}", problem.path, problem.allowed))
        .collect();
    lines.join("; ")
}

/// Checks an object against its fields; `path` is where it stands.
///
/// # Examples
///
/// ```
/// use firweir::version::check::Field;
/// use firweir::version::check::Kind;
/// use firweir::version::check::check_object;
///
/// let fields = [Field { key: "limit", kind: Kind::Integer(1, 9), required: true }];
/// let problems = check_object(&serde_json::json!({ "limit": 10 }), "services.card", &fields);
/// assert_eq!(problems[0].path, "services.card.limit");
/// ```
#[must_use]
pub fn check_object(value: &Value, path: &str, fields: &[Field]) -> Vec<Problem> {
    let Some(object) = value.as_object() else {
        return vec![Problem {
            path: path.to_owned(),
            allowed: "an object".to_owned(),
        }];
    };
    let mut problems = Vec::new();
    for key in object.keys() {
        if !fields.iter().any(|field| field.key == key) {
            let known: Vec<&str> = fields.iter().map(|field| field.key).collect();
            let allowed = format!("one of {}", known.join(", "));
            problems.push(Problem {
                path: join(path, key),
                allowed,
            });
        }
    }
    for field in fields {
        let fits = match object.get(field.key) {
            Some(value) => field.kind.fits(value),
            None => !field.required,
        };
        if !fits {
            problems.push(Problem {
                path: join(path, field.key),
                allowed: field.kind.allowed(),
            });
        }
    }
    problems
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

impl Kind {
    fn fits(self, value: &Value) -> bool {
        match self {
            Self::Text => value.as_str().is_some_and(|text| !text.is_empty()),
            Self::Texts => all(value, serde_json::Value::is_string),
            Self::Address => is_address(value),
            Self::Addresses => all(value, is_address),
            Self::Integer(least, most) => value
                .as_u64()
                .is_some_and(|number| (least..=most).contains(&number)),
            Self::Choice(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
            Self::Object => value.is_object(),
            Self::Share => value
                .as_f64()
                .is_some_and(|share| share > 0.0 && share < 1.0),
            Self::Objects => value
                .as_object()
                .is_some_and(|object| object.values().all(Value::is_object)),
        }
    }

    fn allowed(self) -> String {
        match self {
            Self::Text => "a text that is not empty".to_owned(),
            Self::Texts => "a list of texts".to_owned(),
            Self::Address => "an IP address with a port, as 10.0.0.1:7000".to_owned(),
            Self::Addresses => "a list of IP addresses with ports".to_owned(),
            Self::Integer(least, most) => format!("a whole number from {least} to {most}"),
            Self::Choice(choices) => format!("one of {}", choices.join(", ")),
            Self::Objects => "an object of objects".to_owned(),
            Self::Object => "an object".to_owned(),
            Self::Share => "a number above 0 and below 1".to_owned(),
        }
    }
}

fn all(value: &Value, fits: impl Fn(&Value) -> bool) -> bool {
    value.as_array().is_some_and(|items| items.iter().all(fits))
}

fn is_address(value: &Value) -> bool {
    value
        .as_str()
        .is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}
