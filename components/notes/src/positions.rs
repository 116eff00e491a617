use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Location, Spanned};

use crate::Position;

/// Positions of the fields of a YAML text, by path.
#[derive(Debug, Clone, Default)]
pub(crate) struct FieldPositions {
    /// Position and scalar content by path.
    by_path: BTreeMap<String, (Position, String)>,
}

/// A YAML value with the position of each part.
enum Node {
    /// A mapping, in the order of the text.
    Map(Vec<(Spanned<String>, Spanned<Node>)>),
    /// A sequence, in the order of the text.
    List(Vec<Spanned<Node>>),
    /// A scalar, as text.
    Scalar(String),
}

impl FieldPositions {
    /// Returns the positions in a text; empty if the text is not YAML.
    pub(crate) fn of(text: &str) -> Self {
        let mut positions = Self::default();
        if let Ok(root) = serde_saphyr::from_str::<Spanned<Node>>(text) {
            positions.collect("", &root.value);
        }
        positions
    }

    /// Returns the position of a field, or of its nearest parent that is in the text.
    pub(crate) fn find(&self, path: &str) -> Option<Position> {
        let mut path = path;
        loop {
            if let Some((position, _)) = self.by_path.get(path) {
                return Some(*position);
            }
            path = &path[..path.rfind('.')?];
        }
    }

    /// Returns the last field that starts on the position's line at or before its column, with its content.
    pub(crate) fn field_at(&self, position: Position) -> Option<(&str, &str)> {
        let on_line = self.by_path.iter().filter(|(_, (p, _))| p.line == position.line);
        on_line
            .filter(|(_, (p, _))| p.column <= position.column)
            .max_by_key(|(path, (p, _))| (p.column, path.len()))
            .map(|(path, (_, found))| (path.as_str(), found.as_str()))
    }

    fn collect(&mut self, path: &str, node: &Node) {
        match node {
            Node::Map(entries) => {
                for (key, value) in entries {
                    let path = join(path, &key.value);
                    self.insert(&path, key.defined, &value.value);
                    self.collect(&path, &value.value);
                }
            }
            Node::List(items) => {
                for (i, item) in items.iter().enumerate() {
                    let path = join(path, &i.to_string());
                    self.insert(&path, item.defined, &item.value);
                    self.collect(&path, &item.value);
                }
            }
            Node::Scalar(_) => {}
        }
    }

    fn insert(&mut self, path: &str, location: Location, node: &Node) {
        let found = match node {
            Node::Map(_) => "a mapping".to_owned(),
            Node::List(_) => "a sequence".to_owned(),
            Node::Scalar(text) => text.clone(),
        };
        self.by_path.insert(path.to_owned(), (position(location), found));
    }
}

/// Converts a location of the parser to a position.
pub(crate) fn position(location: Location) -> Position {
    Position {
        line: location.line(),
        column: location.column(),
    }
}

fn join(path: &str, part: &str) -> String {
    if path.is_empty() {
        return part.to_owned();
    }
    format!("{path}.{part}")
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key()? {
            entries.push((key, map.next_value()?));
        }
        Ok(Node::Map(entries))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_str<E>(self, v: &str) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_owned()))
    }

    fn visit_bool<E>(self, v: bool) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_string()))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_string()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_string()))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_string()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Scalar("empty".to_owned()))
    }
}
