//! Transactions, with the features that proxies use: comparisons for equality, puts and deletes.

use super::call::CallContext;
use super::stream::GrpcError;
use crate::clock::Micros;
use crate::model::store::{Condition, Write};
use chalkwalk_etcd_wire::api;
use chalkwalk_etcd_wire::api::compare::TargetUnion;
use chalkwalk_etcd_wire::api::request_op::Request;

fn unsupported() -> GrpcError {
    GrpcError::unimplemented("only EQUAL, and puts and deletes")
}

fn condition(compare: &api::Compare) -> Result<Condition, GrpcError> {
    let is_equal = compare.result() == api::compare::Result::Equal;
    match compare.target_union.clone().filter(|_| is_equal) {
        Some(TargetUnion::Version(version)) => Ok(Condition::Version(version)),
        Some(TargetUnion::CreateRevision(revision)) => Ok(Condition::CreateRevision(revision)),
        Some(TargetUnion::ModRevision(revision)) => Ok(Condition::ModRevision(revision)),
        Some(TargetUnion::Value(value)) => Ok(Condition::Value(value.to_vec())),
        _ => Err(unsupported()),
    }
}

fn write(operation: api::RequestOp) -> Result<Write, GrpcError> {
    match operation.request {
        Some(Request::RequestPut(put)) => {
            Ok(Write::Put { key: put.key.to_vec(), value: put.value.to_vec(), lease: put.lease })
        }
        Some(Request::RequestDeleteRange(delete)) => {
            Ok(Write::Delete { key: delete.key.to_vec(), end: delete.range_end.to_vec() })
        }
        _ => Err(unsupported()),
    }
}

/// Runs a transaction.
pub(super) fn run(
    context: &CallContext,
    request: api::TxnRequest,
    now: Micros,
) -> Result<api::TxnResponse, GrpcError> {
    let mut store = context.store();
    let mut succeeded = true;
    for compare in &request.compare {
        succeeded &= store.satisfies(&compare.key, &condition(compare)?);
    }
    let operations = if succeeded { request.success } else { request.failure };
    let writes: Vec<Write> = operations.into_iter().map(write).collect::<Result<_, _>>()?;
    let revision = store.write(now, &writes)?;
    drop(store);
    let header = context.header(revision);
    let put = || api::response_op::Response::ResponsePut(api::PutResponse { header });
    let responses = writes.iter().map(|_| api::ResponseOp { response: Some(put()) }).collect();
    context.services.etcd.wake_watchers();
    Ok(api::TxnResponse { header, succeeded, responses })
}
