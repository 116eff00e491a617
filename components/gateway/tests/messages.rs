//! The form in which hosts send each other rows of the store.

use std::time::Duration;

use gateway::ports::Record;
use gateway::{Position, TableUpdate};
use postcard::ser_flavors::{AllocVec, Flavor};

/// Size of a row, in bytes.
const ROW_BYTES: usize = 1 << 20;

/// Packs a message and counts the bytes that are written one by one.
#[derive(Default)]
struct SingleBytes {
    packed: AllocVec,
    count: usize,
}

impl Flavor for SingleBytes {
    type Output = (Vec<u8>, usize);

    fn try_push(&mut self, byte: u8) -> postcard::Result<()> {
        self.count += 1;
        self.packed.try_push(byte)
    }

    fn try_extend(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        self.packed.try_extend(bytes)
    }

    fn finalize(self) -> postcard::Result<Self::Output> {
        Ok((self.packed.finalize()?, self.count))
    }
}

fn update() -> TableUpdate {
    let row = Record {
        key: "config".into(),
        value: Some(vec![7; ROW_BYTES]),
        position: Position::new(1, 9),
    };
    TableUpdate::Newer(gateway::ports::Snapshot {
        records: vec![row],
        position: Position::new(1, 9),
        store_time: None,
        transfer_time: Duration::ZERO,
    })
}

// Guards against a large row that is written byte by byte for each host that asks.
#[test]
fn the_content_of_a_row_is_packed_as_one_piece() {
    let (packed, single) = postcard::serialize_with_flavor(&update(), SingleBytes::default()).unwrap();
    assert!(single < 100, "{single} bytes one by one");
    assert_eq!(postcard::from_bytes::<TableUpdate>(&packed).unwrap(), update());
}

// Guards against a form that hosts of the version before can't read.
#[test]
fn the_content_of_a_row_has_the_form_of_a_list_of_bytes() {
    let row = |value: Option<&[u8]>| Record {
        key: "k".into(),
        value: value.map(<[u8]>::to_vec),
        position: Position::new(1, 9),
    };
    for value in [None, Some(&b""[..]), Some(b"\x00\xff\x80")] {
        let listed = ("k", value.map(<[u8]>::to_vec), Position::new(1, 9));
        let packed = postcard::to_allocvec(&row(value)).unwrap();
        assert_eq!(packed, postcard::to_allocvec(&listed).unwrap(), "{value:?}");
    }
}
