Feature: a submission is accepted whole, once, and truthfully answered

  Scenario: the later of two racing operators learns what changed
    # Two operators read revision 1 and submit within a moment. The first puts
    # new limits in force. The second would silently undo them; it has to be
    # refused and told which objects changed, in which revision and by whom.
    Given a configuration world of 3 daemons
    When two operators submit at two daemons against the same revision
    Then one submission is accepted and the other is in conflict
    And the conflict names the customers, the revision and the operator

  Scenario: a submission sent again after later revisions is recognised
    # An operator's script submits, loses its connection and is run again an
    # hour later, when others have submitted. Accepting it anew would revert
    # their changes under a higher revision.
    Given a configuration world of 3 daemons
    When a submission is sent again after two later revisions
    Then it is told its first revision and nothing changes

  Scenario: an id is not taken for another submission
    Given a configuration world of 3 daemons
    When another submission is sent under an accepted id
    Then it is refused and names the revision that the id became

  Scenario: a head write whose answer is lost is told as accepted
    # The store writes the head and its answer is lost. "Failed" would be a
    # lie, and sending it again would make a second revision of it.
    Given a configuration world of 3 daemons
    When the answer to the head's write is lost
    Then the submitter is told the revision that is in force everywhere

  Scenario: a head write that lands late neither doubles nor reverts
    # The head's write is stuck on its way. The daemon gives up waiting, reads
    # the old head back and writes again; another operator submits; then the
    # stuck write arrives. Its condition no longer holds.
    Given a configuration world of 3 daemons
    When the head's write lands after the next submission was accepted
    Then both revisions are in force as they were told

  Scenario: a store that stays down after a lost answer leaves it unknown
    # The head is written, the answer is lost, and the store goes down. Neither
    # "accepted" nor "not accepted" is known; the same id tells later.
    Given a configuration world of 3 daemons
    When the store goes down with the answer to the head's write
    Then the submitter is told that the outcome is unknown
    And the same id is told its one revision when the store is back

  Scenario: a store that goes down among the parts leaves nothing behind
    # The store goes down after some of the new parts were written. No daemon
    # may see any of them, and the operator is told that nothing was accepted.
    Given a configuration world of 3 daemons
    When the store goes down while parts are written
    Then the submission is refused as not accepted and nothing changes
    And the same id is accepted when the store is back

  Scenario: going back is a new, higher revision
    Given a configuration world of 3 daemons
    When an operator goes back to the first revision after two others
    Then a higher revision with the first one's content is in force
    And the history lists four revisions, the newest first

  Scenario: a dry run says what would change and changes nothing
    Given a configuration world of 3 daemons
    When an operator asks what a submission would change
    Then the changes are listed and the revision stays

  Scenario: what is in force is shown without whole token hashes
    Given a configuration world of 3 daemons
    When an operator asks what is in force
    Then the answers are shown and no token hash is

  Scenario: old revisions are swept and kept ones stay whole
    # Parts of old revisions and of lost races pile up in the store. Deleting
    # one that a kept revision names would make going back impossible.
    Given a configuration world of 3 daemons
    When revisions are swept down to the last 3 after lost races
    Then every kept revision can be loaded whole
    And no object of a swept revision or lost race is left

  Scenario Outline: a submission with <what> is refused and changes nothing
    Given a configuration world of 1 daemons
    When an operator submits the body <body>
    Then the submission ends with <status> and "<text>"

    Examples:
      | what                       | body                                   | status | text                                         |
      | no id                      | {"from_revision": 1}                   | 422    | submission/id: is missing                    |
      | a slash in its id          | {"id": "a/b", "from_revision": 1}      | 422    | submission/id: 'a/b' is not allowed          |
      | neither answers nor origin | {"id": "a"}                            | 422    | give either 'answers' or 'from_revision'     |
      | an unknown field           | {"id": "a", "from_revison": 1}         | 422    | did you mean 'from_revision'?                |
      | a revision not kept        | {"id": "a", "from_revision": 77}       | 404    | Revision 77 is not kept                      |
      | half the answers           | {"id": "a", "answers": {"jobs": 3}}    | 422    | submission/answers/jobs: 3 is not a list     |
      | a body that is no object   | [1]                                    | 400    | not a JSON object                            |
