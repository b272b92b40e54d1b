Feature: the daemons of a deployment as one of them sees them

  Scenario Outline: one of <count> members <change>
    # Guards against work for all members at each request, and against a view
    # that does not follow what a member says.
    Given a daemon that knows <count> members
    When one member <change>
    Then it alone is described anew, as it is now

    Examples:
      | count | change                 |
      | 195   | becomes busy           |
      | 348   | becomes busy           |
      | 348   | comes at a new address |
