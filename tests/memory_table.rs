//! Contract of the table stand-in in memory.

use brassrack::table::{Check, Commit, Read, Table, TableError, Txn, Write};
use brassrack_standins::fault::Fault;
use brassrack_standins::table::MemoryTable;

fn put(key: &str, revision: u64) -> Txn {
    Txn {
        checks: vec![Check {
            key: key.into(),
            revision,
        }],
        writes: vec![Write {
            key: key.into(),
            value: Some("x".into()),
        }],
    }
}

#[tokio::test]
async fn checks_guard_writes() {
    let table = MemoryTable::default();
    assert_eq!(table.commit(put("a", 0)).await, Ok(Commit::Done(1)));
    assert_eq!(
        table.commit(put("a", 0)).await,
        Ok(Commit::Conflict(vec!["a".into()]))
    );
    assert_eq!(table.commit(put("a", 1)).await, Ok(Commit::Done(2)));
}

#[tokio::test]
async fn lost_answer_takes_effect() {
    let table = MemoryTable::default();
    table.switch.set(Fault::LoseNext(1));
    assert!(matches!(
        table.commit(put("a", 0)).await,
        Err(TableError::Unknown(_))
    ));
    let rows = table.read(Read::Prefix("a".into())).await.unwrap();
    assert_eq!(rows[0].revision, 1);
}

#[tokio::test]
async fn refused_call_has_no_effect() {
    let table = MemoryTable::default();
    table.switch.set(Fault::Down);
    assert!(matches!(
        table.commit(put("a", 0)).await,
        Err(TableError::Refused(_))
    ));
    assert!(table.rows().is_empty());
}
